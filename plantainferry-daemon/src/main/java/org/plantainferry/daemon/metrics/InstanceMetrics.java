package org.plantainferry.daemon.metrics;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmThreadMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import java.util.function.Supplier;
import org.plantainferry.daemon.control.ControlLoop;
import org.plantainferry.daemon.traffic.ServiceDispatcherRegistry;
import org.plantainferry.daemon.traffic.TrafficSnapshot;

/**
 * Shows the state of control and of the process.
 *
 * @since 0.1
 */
public final class InstanceMetrics {
    private InstanceMetrics() {}

    /** Registers all gauges. */
    public static void register(
            MeterRegistry registry,
            Supplier<TrafficSnapshot> snapshot,
            ServiceDispatcherRegistry lanes,
            ControlLoop loop) {
        Gauge.builder("plantainferry.configuration.version", () -> configurationVersion(snapshot))
                .description("Configuration version in force")
                .register(registry);
        Gauge.builder("plantainferry.configuration.freshness", () -> freshness(snapshot))
                .description("0 fresh, 1 outage of the store, 2 isolated")
                .register(registry);
        Gauge.builder("plantainferry.members.live", () -> liveMembers(snapshot))
                .description("Live instances as seen here")
                .register(registry);
        Gauge.builder("plantainferry.transactions.open", lanes::openTransactions)
                .description("Open transactions held here")
                .register(registry);
        Gauge.builder("plantainferry.control.dropped", loop::droppedTasks)
                .description("Control tasks dropped because the queue was full")
                .register(registry);
        new JvmMemoryMetrics().bindTo(registry);
        new JvmThreadMetrics().bindTo(registry);
        new ProcessorMetrics().bindTo(registry);
    }

    private static long configurationVersion(Supplier<TrafficSnapshot> snapshot) {
        return snapshot.get().keys().version();
    }

    private static int freshness(Supplier<TrafficSnapshot> snapshot) {
        return snapshot.get().freshness().freshnessAt(System.nanoTime()).ordinal();
    }

    private static int liveMembers(Supplier<TrafficSnapshot> snapshot) {
        return snapshot.get().members().members().size();
    }
}
