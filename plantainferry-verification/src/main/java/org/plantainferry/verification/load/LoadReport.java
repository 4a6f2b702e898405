package org.plantainferry.verification.load;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Holds the results of one load run, without its warm-up.
 *
 * @param measuredSeconds duration of the measured period in seconds
 * @param latency latencies of the successful requests in nanoseconds; measured from the planned
 *     start of each request if the plan sets a rate, so that a stall also counts for the requests
 *     that it delayed
 * @param reads number of successful reads
 * @param replicaReads number of successful reads that replicas served
 * @param errors number of failed or refused requests by verdict and error code
 * @since 0.1
 */
public record LoadReport(
        double measuredSeconds,
        Histogram latency,
        long reads,
        long replicaReads,
        Map<String, Long> errors) {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Returns the number of successful requests per second. */
    public double throughput() {
        return latency.getTotalCount() / measuredSeconds;
    }

    /** Returns the latency at a percentile, from 0 to 100, in milliseconds. */
    public double latencyMillis(double percentile) {
        return latency.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    /** Returns the number of requests that failed or were refused. */
    public long errorCount() {
        return errors.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns the share of the requests that succeeded, from 0 to 1; 0 without any request. */
    public double successRatio() {
        long total = latency.getTotalCount() + errorCount();
        return total == 0 ? 0 : (double) latency.getTotalCount() / total;
    }

    /** Returns the report as text with one result per line. */
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
