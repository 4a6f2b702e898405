package org.plantainferry.verification.scenario;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.json.Json;
import org.plantainferry.network.store.InstanceRecord;
import org.plantainferry.verification.standin.FreePorts;

/** Is one process of the daemon, which this runner started and ends by its process id. */
final class DaemonProcess {
    private static final String HEAP_OPTION = "-Xmx160m";
    private static final long EXIT_SECONDS = 5;

    private final Process mProcess;
    private final InstanceRecord mInstanceRecord;
    private final String mPeerListenAddress;
    private final int mIncarnation;

    private DaemonProcess(
            Process process, InstanceRecord record, String peerAddress, int incarnation) {
        mProcess = process;
        mInstanceRecord = record;
        mPeerListenAddress = peerAddress;
        mIncarnation = incarnation;
    }

    /** Describes where and how an instance is started. */
    record InstanceSpec(String name, String domain, String ip, int incarnation) {
        /** A restarted process needs an identifier of its own. */
        String instanceId() {
            return incarnation == 1 ? name : name + "-" + incarnation;
        }
    }

    /**
     * Starts a process.
     *
     * @param relayed turns the peer address into the one that other instances use
     */
    static DaemonProcess start(
            InstanceSpec place,
            String store,
            Path directory,
            java.util.function.UnaryOperator<String> relayed) {
        String caller = FreePorts.allocateAddress(place.ip());
        String peer = FreePorts.allocateAddress(place.ip());
        String operator = FreePorts.allocateAddress(place.ip());
        Map<String, Object> settings =
                Map.of(
                        "instance",
                        place.instanceId(),
                        "failureDomain",
                        place.domain(),
                        "localAddress",
                        place.ip(),
                        "callerListener",
                        caller,
                        "peerListener",
                        peer,
                        "operatorListener",
                        operator,
                        "store",
                        store,
                        "sessionSecretFiles",
                        List.of("secret"),
                        "drainSeconds",
                        10);
        Path file = directory.resolve(place.instanceId() + ".json");
        Path log = directory.resolve(place.instanceId() + ".log");
        InstanceRecord record =
                new InstanceRecord(
                        new InstanceId(place.instanceId()),
                        new FailureDomain(place.domain()),
                        relayed.apply(peer),
                        caller,
                        operator,
                        "live");
        try {
            Files.writeString(file, Json.write(settings));
            Process process =
                    new ProcessBuilder(command(file))
                            .redirectErrorStream(true)
                            .redirectOutput(log.toFile())
                            .start();
            return new DaemonProcess(process, record, peer, place.incarnation());
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start " + place.instanceId(), e);
        }
    }

    private static List<String> command(Path settings) {
        String target = "plantainferry-daemon" + File.separator + "target" + File.separator;
        return List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                HEAP_OPTION,
                "-cp",
                target + "classes" + File.pathSeparator + target + "lib" + File.separator + "*",
                "org.plantainferry.daemon.PlantainferrydMain",
                "--settings",
                settings.toString());
    }

    InstanceRecord instanceRecord() {
        return mInstanceRecord;
    }

    /** Returns the address at which the process itself listens for peers. */
    String peerListenAddress() {
        return mPeerListenAddress;
    }

    int incarnation() {
        return mIncarnation;
    }

    Process process() {
        return mProcess;
    }

    /** Sends a signal to the process if it is still alive. */
    void signal(String name) {
        if (!mProcess.isAlive()) {
            return;
        }
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid()))
                    .inheritIO()
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot send " + name, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends the process without a drain and waits until it is gone. */
    void kill() {
        mProcess.destroyForcibly();
        try {
            mProcess.waitFor(EXIT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
