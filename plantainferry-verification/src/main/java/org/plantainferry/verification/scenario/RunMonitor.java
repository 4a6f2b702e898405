package org.plantainferry.verification.scenario;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.json.Json;
import org.plantainferry.verification.history.VersionSample;

/** Polls the configuration version of every instance, and watches for pauses of this process. */
final class RunMonitor implements AutoCloseable {
    private static final long POLL_MILLIS = 500;
    private static final long PAUSE_CHECK_MILLIS = 10;

    private final Environment mEnvironment;
    private final Thread mPoller = new Thread(this::pollVersions, "version-poller");
    private final Thread mPauseDetector = new Thread(this::detectPauses, "pulse");
    private volatile boolean mClosed;
    private volatile long mLongestPauseMillis;

    RunMonitor(Environment environment) {
        mEnvironment = environment;
        mPoller.setDaemon(true);
        mPauseDetector.setDaemon(true);
        mPoller.start();
        mPauseDetector.start();
    }

    /** Returns by how much the machine delayed a thread at most; it bounds all measured times. */
    long longestPauseMillis() {
        return mLongestPauseMillis;
    }

    /** Writes the last status of each instance to a file, for the search for causes. */
    void writeStatuses(Path directory) throws IOException, InterruptedException {
        for (String name : mEnvironment.fleet().instanceNames()) {
            Optional<String> status =
                    mEnvironment.fleet().getFromOperatorListener(name, "/operator/status");
            Files.writeString(directory.resolve(name + ".status.json"), status.orElse(""));
        }
    }

    private void pollVersions() {
        try {
            while (!mClosed) {
                for (String name : mEnvironment.fleet().instanceNames()) {
                    recordVersion(name);
                }
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void recordVersion(String name) throws InterruptedException {
        DaemonProcess process = mEnvironment.fleet().process(name);
        if (!process.process().isAlive()) {
            return;
        }
        long sent = System.nanoTime();
        Optional<String> body =
                mEnvironment.fleet().getFromOperatorListener(name, "/operator/status");
        if (body.isEmpty() || process != mEnvironment.fleet().process(name)) {
            return;
        }
        try {
            long version =
                    Json.strict().readTree(body.get()).path("configurationVersion").asLong(-1);
            mEnvironment
                    .recorder()
                    .add(
                            new VersionSample(
                                    name, process.incarnation(), sent, System.nanoTime(), version));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("unreadable status of " + name, e);
        }
    }

    private void detectPauses() {
        try {
            while (!mClosed) {
                long before = System.nanoTime();
                TimeUnit.MILLISECONDS.sleep(PAUSE_CHECK_MILLIS);
                long late = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - before);
                mLongestPauseMillis = Math.max(mLongestPauseMillis, late - PAUSE_CHECK_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        mClosed = true;
        mPoller.interrupt();
        mPauseDetector.interrupt();
    }
}
