package org.plantainferry.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.configuration.Configuration;
import org.plantainferry.api.json.Json;
import org.plantainferry.network.operator.InstanceStatus;
import org.plantainferry.network.store.InstanceRecord;

/** Runs command lines against a store in memory, with a clock that only sleeping moves. */
final class CommandLineTester {
    private final InMemoryStore mStore;
    private final Map<String, InstanceStatus> mStatuses = new HashMap<>();
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();
    private Runnable mSleepAction = () -> {};
    private long mNowNanos;

    CommandLineTester(InMemoryStore store) {
        mStore = store;
    }

    void setSleepAction(Runnable action) {
        mSleepAction = action;
    }

    /** Runs a command and returns its exit code. */
    int run(String... arguments) {
        mOut.reset();
        mErr.reset();
        TimeSource timing =
                new TimeSource() {
                    @Override
                    public long nowNanos() {
                        return mNowNanos;
                    }

                    @Override
                    public void sleepMillis(long millis) {
                        mNowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
                        mSleepAction.run();
                    }
                };
        String[] all =
                Stream.concat(Stream.of("--store", "127.0.0.1:1"), Stream.of(arguments))
                        .toArray(String[]::new);
        return new CommandLine(new SecureRandom())
                .run(
                        all,
                        new CommandContext.Environment(address -> mStore, this::readStatus, timing),
                        new PrintStream(mOut, true, StandardCharsets.UTF_8),
                        new PrintStream(mErr, true, StandardCharsets.UTF_8));
    }

    String out() {
        return mOut.toString(StandardCharsets.UTF_8);
    }

    String err() {
        return mErr.toString(StandardCharsets.UTF_8);
    }

    /** Returns the JSON output of the last command. */
    JsonNode json() {
        return Json.read(out(), JsonNode.class, ErrorCode.INTERNAL);
    }

    Configuration configuration() {
        return mStore.value(CurrentConfiguration.PATH)
                .map(text -> Json.read(text, Configuration.class, ErrorCode.INTERNAL))
                .orElse(Configuration.EMPTY);
    }

    /** Adds an instance to the platform's list. */
    void addListedInstance(String instance, String state) {
        mStore.addInstance(
                new InstanceRecord(
                        new InstanceId(instance),
                        new FailureDomain("como-a"),
                        "p",
                        "c",
                        "operator-of-" + instance,
                        state));
    }

    /** Lets an instance answer from now on. */
    void setVersion(String instance, long version) {
        mStatuses.put(
                "operator-of-" + instance,
                new InstanceStatus(
                        new InstanceId(instance),
                        new FailureDomain("como-a"),
                        "live",
                        version,
                        "FRESH",
                        List.of(),
                        List.of(),
                        List.of()));
    }

    /** Writes a release note that adds one workspace, and returns the path of the file. */
    static String writeNote(String id, long against, String workspace) {
        return writeFile(
                "{\"id\":\"%s\",\"against\":%d, // why\n \"added\":{\"workspaces\":[%s]}}"
                        .formatted(
                                id,
                                against,
                                "{\"name\":\"%s\",\"ratePerSecond\":10,\"burst\":5}"
                                        .formatted(workspace)));
    }

    static String writeFile(String text) {
        try {
            Path file = Files.createTempFile("note", ".json");
            file.toFile().deleteOnExit();
            Files.writeString(file, text);
            return file.toString();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private CompletableFuture<InstanceStatus> readStatus(String address) {
        InstanceStatus status = mStatuses.get(address);
        return status == null
                ? CompletableFuture.failedFuture(
                        new PlantainferryException(ErrorCode.PEER_UNAVAILABLE, "no status"))
                : CompletableFuture.completedFuture(status);
    }
}
