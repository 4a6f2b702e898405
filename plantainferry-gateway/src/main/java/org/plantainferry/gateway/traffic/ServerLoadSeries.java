package org.plantainferry.gateway.traffic;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Registers the series of one server, and removes them when the server is gone.
 *
 * <p>Used by the traffic thread only; the values are read by the thread that serves the metrics.
 */
final class ServerLoadSeries {
    private static final String PREFIX = "plantainferry.server.";

    private final MeterRegistry mRegistry;
    private final List<Meter> mMeters = new ArrayList<>();
    private final Map<Integer, Meter> mWaitingMeters = new HashMap<>();
    private volatile ServerLoad mLoad;

    ServerLoadSeries(MeterRegistry registry, ServerLoad load) {
        mRegistry = registry;
        mLoad = load;
        gauge("room.limit", ServerLoadSeries::limit);
        gauge("room.used", known -> known.inProgress());
        gauge("slowness", ServerLoad::slowness);
        counter("refused.early", ServerLoad::refusedEarly);
        counter("displaced", ServerLoad::displaced);
        update(load);
    }

    private static double limit(ServerLoad load) {
        return load.limit() == Integer.MAX_VALUE ? Double.NaN : load.limit();
    }

    private void gauge(String name, ToDoubleFunction<ServerLoad> value) {
        mMeters.add(
                Gauge.builder(PREFIX + name, this, series -> value.applyAsDouble(series.mLoad))
                        .tag("server", mLoad.server())
                        .register(mRegistry));
    }

    private void counter(String name, ToDoubleFunction<ServerLoad> value) {
        mMeters.add(
                FunctionCounter.builder(
                                PREFIX + name, this, series -> value.applyAsDouble(series.mLoad))
                        .tag("server", mLoad.server())
                        .register(mRegistry));
    }

    /** Replaces the values. */
    void update(ServerLoad load) {
        mLoad = load;
        load.waitingByPriority()
                .keySet()
                .forEach(
                        priority ->
                                mWaitingMeters.computeIfAbsent(priority, this::registerWaiting));
    }

    private Meter registerWaiting(int priority) {
        return Gauge.builder(PREFIX + "waiting", this, series -> series.waiting(priority))
                .tag("server", mLoad.server())
                .tag("priority", Integer.toString(priority))
                .register(mRegistry);
    }

    private double waiting(int priority) {
        return mLoad.waitingByPriority().getOrDefault(priority, 0);
    }

    /** Removes all series of the server. */
    void remove() {
        mMeters.forEach(mRegistry::remove);
        mWaitingMeters.values().forEach(mRegistry::remove);
    }
}
