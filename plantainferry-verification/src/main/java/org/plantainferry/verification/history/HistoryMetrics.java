package org.plantainferry.verification.history;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Computes the metrics of section 2.3 of the design page from the history of a run.
 *
 * @since 0.1
 */
public final class HistoryMetrics {
    private static final double PERCENT = 100;
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long FAILOVER_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(15);
    // On a busy machine a process needs several seconds before it has read the configuration.
    private static final long START_GRACE_NANOS = TimeUnit.SECONDS.toNanos(15);
    private static final long RECOVERY_GRACE_NANOS = TimeUnit.SECONDS.toNanos(6);
    private static final String CONFIGURATION_STALE = "CONFIGURATION_STALE";
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final String REPLICA_ROLE = "replica";
    private static final String RATE_EXCEEDED = "RATE_EXCEEDED";

    private final History mHistory;

    /** Creates the metrics of a history. */
    public HistoryMetrics(History history) {
        mHistory = history;
    }

    /**
     * Returns the percentage of successful reads outside transactions that replicas served; 0
     * without such reads.
     */
    public double replicaReadPercent() {
        List<CallRecord> reads =
                mHistory.calls().stream()
                        .filter(c -> c.call().operation().isPlainRead() && c.isSuccess())
                        .toList();
        long replicaReads =
                reads.stream()
                        .filter(c -> c.answer().orElseThrow().role().equals(REPLICA_ROLE))
                        .count();
        return reads.isEmpty() ? 0 : PERCENT * replicaReads / reads.size();
    }

    /**
     * Returns, for each fault of a primary, its service and the longest time in seconds without an
     * acknowledged write or commit of that service in the 15 s after the fault.
     */
    public List<Map.Entry<String, Double>> failoverGapsSeconds() {
        List<Map.Entry<String, Double>> gaps = new ArrayList<>();
        mHistory.events(HistoryEvent.Kind.PRIMARY_FAULT)
                .forEach(
                        event ->
                                gaps.add(
                                        Map.entry(event.subject(), longestWriteGapSeconds(event))));
        return gaps;
    }

    private double longestWriteGapSeconds(HistoryEvent fault) {
        List<Long> acknowledgedNanos =
                mHistory.calls().stream()
                        .filter(c -> c.call().service().equals(fault.subject()))
                        .filter(
                                c ->
                                        c.hasOperation(Operation.WRITE)
                                                || c.hasOperation(Operation.COMMIT))
                        .filter(CallRecord::isSuccess)
                        .map(CallRecord::endNanos)
                        .sorted()
                        .toList();
        long historyEndNanos = mHistory.calls().get(mHistory.calls().size() - 1).endNanos();
        long windowEndNanos = Math.min(fault.nanos() + FAILOVER_WINDOW_NANOS, historyEndNanos);
        long previousNanos = fault.nanos();
        long longestNanos = 0;
        for (long acknowledged : acknowledgedNanos) {
            if (acknowledged > fault.nanos() && acknowledged <= windowEndNanos) {
                longestNanos = Math.max(longestNanos, acknowledged - previousNanos);
                previousNanos = acknowledged;
            }
        }
        longestNanos = Math.max(longestNanos, windowEndNanos - previousNanos);
        return longestNanos / NANOS_PER_SECOND;
    }

    /**
     * Returns, by workspace, the percentage of charged requests that were refused although they
     * were within the rate and burst of the workspace.
     */
    public Map<String, Double> wrongfulRefusalPercents() {
        Map<String, Double> shares = new TreeMap<>();
        Map<String, List<CallRecord>> byWorkspace =
                mHistory.callsBy(record -> record.call().workspace());
        mHistory.limits()
                .forEach(
                        (workspace, limit) -> {
                            List<CallRecord> calls =
                                    byWorkspace.getOrDefault(workspace, List.of()).stream()
                                            .filter(c -> c.call().operation().isCharged())
                                            .toList();
                            double wrongful = PERCENT * countWrongfulRefusals(calls, limit);
                            shares.put(workspace, calls.isEmpty() ? 0 : wrongful / calls.size());
                        });
        return shares;
    }

    /**
     * Counts refusals with {@code CONFIGURATION_STALE} by instances that had no reason to refuse.
     *
     * <p>An instance has a reason while it is cut off or frozen, for 6 s afterwards, and for 15 s
     * after its start.
     */
    public long needlessStaleRefusals() {
        return mHistory.calls().stream()
                .filter(c -> c.answer().map(Answer::code).orElse("").equals(CONFIGURATION_STALE))
                .filter(c -> !isDisrupted(c))
                .count();
    }

    private boolean isDisrupted(CallRecord record) {
        String instance = record.call().instance();
        long fromNanos = record.startNanos() - RECOVERY_GRACE_NANOS;
        long untilNanos = record.endNanos();
        return mHistory.hasEvent(
                        HistoryEvent.Kind.INSTANCE_STARTED,
                        instance,
                        untilNanos - START_GRACE_NANOS,
                        untilNanos)
                || mHistory.wasInState(
                        HistoryEvent.Kind.INSTANCE_CUT,
                        HistoryEvent.Kind.INSTANCE_HEALED,
                        instance,
                        fromNanos,
                        untilNanos)
                || mHistory.wasInState(
                        HistoryEvent.Kind.INSTANCE_FROZEN,
                        HistoryEvent.Kind.INSTANCE_THAWED,
                        instance,
                        fromNanos,
                        untilNanos);
    }

    /**
     * Counts the rate refusals in excess of those of a single ideal token bucket for the same
     * requests.
     *
     * <p>A fleet that uses 97% of a rate under constant over-demand leaves capacity in an ideal
     * bucket all the time; if every refusal during such times counted, nearly all refusals would be
     * wrongful.
     */
    private static long countWrongfulRefusals(List<CallRecord> calls, RateLimit limit) {
        double bucketLevel = 0;
        long lastNanos = 0;
        long idealRefusals = 0;
        long actualRefusals = 0;
        for (CallRecord call : calls) {
            boolean isRefused = call.answer().map(Answer::code).orElse("").equals(RATE_EXCEEDED);
            if (!isRefused && call.isNotRun()) {
                continue;
            }
            double seconds =
                    lastNanos == 0 ? 0 : (call.startNanos() - lastNanos) / NANOS_PER_SECOND;
            bucketLevel = Math.max(0, bucketLevel - limit.ratePerSecond() * seconds);
            lastNanos = call.startNanos();
            if (bucketLevel + 1 <= limit.burst()) {
                bucketLevel++;
            } else {
                idealRefusals++;
            }
            actualRefusals += isRefused ? 1 : 0;
        }
        return Math.max(0, actualRefusals - idealRefusals);
    }

    /**
     * Returns one line for each workspace: successes, p50 and p99 latency, and other calls by
     * refusal code or outcome.
     */
    public List<String> workspaceSummaries() {
        List<String> lines = new ArrayList<>();
        mHistory.callsBy(record -> record.call().workspace())
                .forEach((workspace, calls) -> lines.add(summarizeWorkspace(workspace, calls)));
        return lines;
    }

    private static String summarizeWorkspace(String workspace, List<CallRecord> calls) {
        Histogram histogram = new Histogram(SIGNIFICANT_DIGITS);
        Map<String, Integer> othersByReason = new TreeMap<>();
        for (CallRecord call : calls) {
            if (call.isSuccess()) {
                histogram.recordValue(
                        Math.max(
                                0,
                                TimeUnit.NANOSECONDS.toMicros(
                                        call.endNanos() - call.startNanos())));
            } else {
                othersByReason.merge(
                        call.answer().map(Answer::code).orElse(call.outcome().name()),
                        1,
                        Integer::sum);
            }
        }
        return String.format(
                "workspace %s: %d ran, p50 %.1f ms, p99 %.1f ms, others %s",
                workspace,
                histogram.getTotalCount(),
                histogram.getValueAtPercentile(50) / 1_000.0,
                histogram.getValueAtPercentile(99) / 1_000.0,
                othersByReason);
    }
}
