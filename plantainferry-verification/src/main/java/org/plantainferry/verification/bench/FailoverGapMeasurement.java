package org.plantainferry.verification.bench;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.plantainferry.verification.standin.group.GroupStandIn;

/** Measures how long writes fail after the primary of a group has stopped. */
final class FailoverGapMeasurement {
    private static final long WRITE_TIMEOUT_SECONDS = 20;
    private static final long POLL_MILLIS = 10;
    private static final long REJOIN_WAIT_MILLIS = 2_500;

    private final PolicyFleet mFleet;
    private final HttpClient mClient = HttpClient.newHttpClient();

    FailoverGapMeasurement(PolicyFleet fleet) {
        mFleet = fleet;
    }

    /**
     * Stops the primary and returns the milliseconds until a write has succeeded through every
     * instance.
     *
     * <p>An instance without a successful write counts with the time at which its writer gave up.
     * The stopped server is started again before the method returns.
     */
    double measure() throws InterruptedException {
        GroupStandIn group = mFleet.firstGroup();
        String primary = findPrimary();
        long stoppedNanos = System.nanoTime();
        group.stop(primary);
        AtomicLong longestNanos = new AtomicLong();
        List<Thread> writers = new ArrayList<>();
        int workspace = 0;
        for (String instance : mFleet.callerAddresses()) {
            String key = Configurations.callerKey(workspace++);
            Thread writer =
                    new Thread(
                            () -> {
                                long finishedNanos = awaitWrite(instance, key, stoppedNanos);
                                longestNanos.accumulateAndGet(
                                        finishedNanos - stoppedNanos, Math::max);
                            },
                            "writer-" + instance);
            writers.add(writer);
            writer.start();
        }
        for (Thread writer : writers) {
            writer.join();
        }
        group.start(primary);
        TimeUnit.MILLISECONDS.sleep(REJOIN_WAIT_MILLIS);
        return longestNanos.get() / 1e6;
    }

    /** Returns the identifier of the server that executes a write; waits until one succeeds. */
    private String findPrimary() throws InterruptedException {
        String body = "";
        while (!body.contains("\"server\":\"")) {
            body =
                    tryWrite(mFleet.callerAddresses().get(0), Configurations.callerKey(0))
                            .orElse("");
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        return body.replaceAll(".*\"server\":\"([^\"]+)\".*", "$1");
    }

    /** Repeats a write until it succeeds or times out and returns the time, in nanoseconds. */
    private long awaitWrite(String instance, String key, long stoppedNanos) {
        try {
            while (tryWrite(instance, key).isEmpty()
                    && System.nanoTime() - stoppedNanos
                            < TimeUnit.SECONDS.toNanos(WRITE_TIMEOUT_SECONDS)) {
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return System.nanoTime();
    }

    /** Returns the response body of a write, or empty if the write failed. */
    private Optional<String> tryWrite(String instance, String key) throws InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://"
                                                + instance
                                                + "/v1/services/"
                                                + mFleet.serviceName(0)
                                                + "/statements"))
                        .timeout(Duration.ofSeconds(WRITE_TIMEOUT_SECONDS))
                        .header("Authorization", "Bearer " + key)
                        .POST(
                                HttpRequest.BodyPublishers.ofString(
                                        "{\"statement\": \"PUT gap 1\", \"kind\": \"write\"}"))
                        .build();
        try {
            HttpResponse<String> response =
                    mClient.send(request, HttpResponse.BodyHandlers.ofString());
            return Optional.of(response.body()).filter(body -> response.statusCode() == 200);
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
