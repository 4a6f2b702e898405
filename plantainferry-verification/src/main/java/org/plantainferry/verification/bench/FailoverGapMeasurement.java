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

/** Stops the primary of a group and waits until writes succeed through every instance. */
final class FailoverGapMeasurement {
    private static final long WRITE_TIMEOUT_SECONDS = 20;
    private static final long POLL_MILLIS = 10;
    private static final long REJOIN_WAIT_MILLIS = 2_500;

    private final PolicyFleet mFleet;
    private final HttpClient mClient = HttpClient.newHttpClient();

    FailoverGapMeasurement(PolicyFleet fleet) {
        mFleet = fleet;
    }

    /** Returns the milliseconds from the stop to the first write that succeeded everywhere. */
    double measure() throws InterruptedException {
        GroupStandIn group = mFleet.firstGroup();
        String primary = findPrimary();
        long stopped = System.nanoTime();
        group.stop(primary);
        AtomicLong last = new AtomicLong();
        List<Thread> writers = new ArrayList<>();
        int workspace = 0;
        for (String instance : mFleet.callerAddresses()) {
            String key = Configurations.callerKey(workspace++);
            Thread writer =
                    new Thread(
                            () -> {
                                long done = awaitWrite(instance, key, stopped);
                                last.accumulateAndGet(done - stopped, Math::max);
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
        return last.get() / 1e6;
    }

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

    private long awaitWrite(String instance, String key, long stopped) {
        try {
            while (tryWrite(instance, key).isEmpty()
                    && System.nanoTime() - stopped
                            < TimeUnit.SECONDS.toNanos(WRITE_TIMEOUT_SECONDS)) {
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return System.nanoTime();
    }

    /** Returns the body when the write succeeded. */
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
            return Optional.of(response.body()).filter(b -> response.statusCode() == 200);
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
