package org.plantainferry.verification.load;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Holds what the callers of one run saw.
 *
 * @param measuredSeconds the measured time
 * @param latency nanoseconds of successful requests; counted from the planned start of each request
 *     when a rate was given, so that a stall counts for the requests that it delayed
 * @param reads successful reads
 * @param replicaReads those of them that replicas served
 * @param errors other answers, by verdict and code
 * @since 0.1
 */
public record LoadReport(
        double measuredSeconds,
        Histogram latency,
        long reads,
        long replicaReads,
        Map<String, Long> errors) {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Returns successful requests a second. */
    public double throughput() {
        return latency.getTotalCount() / measuredSeconds;
    }

    /** Returns a percentile of the latency in milliseconds. */
    public double latencyMillis(double percentile) {
        return latency.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    /** Returns the number of requests that failed or were refused. */
    public long errorCount() {
        return errors.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns the part of the requests that succeeded, from 0 to 1; 0 without any request. */
    public double successRatio() {
        long all = latency.getTotalCount() + errorCount();
        return all == 0 ? 0 : (double) latency.getTotalCount() / all;
    }

    /** Returns the report as lines of text. */
    public String text() {
        StringBuilder text = new StringBuilder();
        text.append(
                String.format(
                        Locale.ROOT,
                        "%d succeeded, %d failed in %.1f s: %.0f/s%n",
                        latency.getTotalCount(),
                        errorCount(),
                        measuredSeconds,
                        throughput()));
        text.append(
                String.format(
                        Locale.ROOT,
                        "latency in ms: p50 %.2f, p90 %.2f, p99 %.2f, p99.9 %.2f, max %.2f%n",
                        latencyMillis(50),
                        latencyMillis(90),
                        latencyMillis(99),
                        latencyMillis(99.9),
                        latency.getMaxValue() / NANOS_PER_MILLI));
        text.append(
                String.format(Locale.ROOT, "%d of %d reads at replicas%n", replicaReads, reads));
        new TreeMap<>(errors)
                .forEach((error, count) -> text.append(String.format("%s: %d%n", error, count)));
        return text.toString();
    }
}
