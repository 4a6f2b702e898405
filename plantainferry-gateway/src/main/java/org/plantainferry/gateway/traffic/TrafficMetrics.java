package org.plantainferry.gateway.traffic;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Counts what traffic does; histograms are kept for each workspace.
 *
 * @since 0.2
 */
public final class TrafficMetrics {
    private final MeterRegistry mRegistry;
    private final Counter mConnectionsOpening;
    private final Counter mConnectionsFailed;
    private final Map<String, Timer> mTimers = new HashMap<>();
    private final Map<String, Counter> mOutcomes = new HashMap<>();

    /** Registers the meters. */
    public TrafficMetrics(MeterRegistry registry) {
        mRegistry = registry;
        mConnectionsOpening = registry.counter("plantainferry.connections.opened");
        mConnectionsFailed = registry.counter("plantainferry.connections.failed");
    }

    void onConnectionOpening() {
        mConnectionsOpening.increment();
    }

    void onConnectionFailed() {
        mConnectionsFailed.increment();
    }

    /** Notes the end of an operation; used by the traffic thread only. */
    void recordOperation(String workspace, String outcome, long tookNanos) {
        mTimers.computeIfAbsent(workspace, this::timer).record(tookNanos, TimeUnit.NANOSECONDS);
        mOutcomes.computeIfAbsent(outcome, this::outcome).increment();
    }

    private Timer timer(String workspace) {
        return Timer.builder("plantainferry.operations")
                .tag("workspace", workspace)
                .publishPercentileHistogram()
                .register(mRegistry);
    }

    private Counter outcome(String outcome) {
        return mRegistry.counter("plantainferry.outcomes", "outcome", outcome);
    }
}
