package org.plantainferry.gateway.traffic;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Records the metrics of connections and operations, with a latency histogram for each workspace.
 *
 * @since 0.2
 */
public final class TrafficMetrics {
    private final MeterRegistry mRegistry;
    private final Counter mConnectionsOpening;
    private final Counter mConnectionsFailed;
    private final LoadMetrics mLoad;
    private final Counter mOperationsPassed;
    private final Counter mOperationsReceived;
    private final Map<String, Counter> mOperationsKept = new HashMap<>();
    private final AtomicLong mHeldBytes = new AtomicLong();
    private final Map<String, Timer> mTimers = new HashMap<>();
    private final Map<String, Counter> mOutcomes = new HashMap<>();

    /** Registers the connection counters. */
    public TrafficMetrics(MeterRegistry registry) {
        mRegistry = registry;
        mLoad = new LoadMetrics(registry);
        mConnectionsOpening = registry.counter("plantainferry.connections.opened");
        registry.gauge("plantainferry.memory.held", mHeldBytes);
        mConnectionsFailed = registry.counter("plantainferry.connections.failed");
        mOperationsPassed = registry.counter("plantainferry.operations.passed");
        mOperationsReceived = registry.counter("plantainferry.operations.received");
    }

    /** Records an operation that was passed to another instance. */
    void onOperationPassed() {
        mOperationsPassed.increment();
    }

    /** Records an operation that another instance has passed to this one. */
    void onOperationReceived() {
        mOperationsReceived.increment();
    }

    /** Records an operation that was not passed on, though its service has hosts. */
    void onOperationKept(String reason) {
        mOperationsKept
                .computeIfAbsent(
                        reason,
                        key -> mRegistry.counter("plantainferry.operations.kept", "reason", key))
                .increment();
    }

    /** Returns the metrics of waiting and refused statements. */
    LoadMetrics load() {
        return mLoad;
    }

    void onConnectionOpening() {
        mConnectionsOpening.increment();
    }

    void onConnectionFailed() {
        mConnectionsFailed.increment();
    }

    /** Records how much memory is held for connections. */
    void onHeldBytes(long bytes) {
        mHeldBytes.lazySet(bytes);
    }

    /** Records a connection of a caller, or to a server, that was closed to make room. */
    void onCallerClosed(String reason) {
        mRegistry.counter("plantainferry.callers.closed", "reason", reason).increment();
    }

    /** Records an answer that cannot belong to the statement that waits for one. Thread-safe. */
    void onAnswerMismatched(String server) {
        mRegistry.counter("plantainferry.answers.mismatched", "server", server).increment();
    }

    /** Records a finished operation. Used by the traffic thread only. */
    void recordOperation(String workspace, String outcome, long durationNanos) {
        mTimers.computeIfAbsent(workspace, this::timer).record(durationNanos, TimeUnit.NANOSECONDS);
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
