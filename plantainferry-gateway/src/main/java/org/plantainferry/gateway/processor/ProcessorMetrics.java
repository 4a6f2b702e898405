package org.plantainferry.gateway.processor;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Registers the metrics of processor time and of waiting for it. */
public final class ProcessorMetrics {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final double MILLIS_PER_SECOND = TimeUnit.SECONDS.toMillis(1);

    private ProcessorMetrics() {}

    /** Registers the delay of each event loop, and the processor time by kind of work. */
    public static void register(MeterRegistry registry, List<LoopDelayProbe> probes) {
        for (LoopDelayProbe probe : probes) {
            Gauge.builder("plantainferry.loop.delay.seconds", probe, ProcessorMetrics::seconds)
                    .tag("thread", probe.thread())
                    .register(registry);
        }
        for (ThreadTimes.Work work : ThreadTimes.Work.values()) {
            FunctionCounter.builder("plantainferry.thread.cpu.seconds", work, ProcessorMetrics::cpu)
                    .tag("work", work.name().toLowerCase(Locale.ROOT))
                    .register(registry);
        }
    }

    private static double seconds(LoopDelayProbe probe) {
        return probe.lastDelayNanos() / NANOS_PER_SECOND;
    }

    private static double cpu(ThreadTimes.Work work) {
        return ThreadTimes.readMillis().getOrDefault(work, 0L) / MILLIS_PER_SECOND;
    }
}
