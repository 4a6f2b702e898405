package org.plantainferry.verification.history;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Computes the measures of section 2.3 of the design page from a history.
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

    /** Creates the measures of a history. */
    public HistoryMetrics(History history) {
        mHistory = history;
    }

    /** Returns the percentage of successful reads outside transactions served by replicas. */
    public double replicaReadPercent() {
        List<CallRecord> reads =
                mHistory.calls().stream()
                        .filter(c -> c.call().operation().isPlainRead() && c.isSuccess())
                        .toList();
        long atReplicas =
                reads.stream()
                        .filter(c -> c.answer().orElseThrow().role().equals(REPLICA_ROLE))
                        .count();
        return reads.isEmpty() ? 0 : PERCENT * atReplicas / reads.size();
    }

    /**
     * Returns, for each fault of a primary, the longest time in seconds without an acknowledged
     * write of the service in the 15 s after it, with the fault's service.
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
        List<Long> ends =
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
        long lastCall = mHistory.calls().get(mHistory.calls().size() - 1).endNanos();
        long until = Math.min(fault.nanos() + FAILOVER_WINDOW_NANOS, lastCall);
        long before = fault.nanos();
        long longest = 0;
        for (long end : ends) {
            if (end > fault.nanos() && end <= until) {
                longest = Math.max(longest, end - before);
                before = end;
            }
        }
        longest = Math.max(longest, until - before);
        return longest / NANOS_PER_SECOND;
    }

    /**
     * Returns, by workspace, the percentage of charged requests that were refused although they
     * were inside the workspace's rate and burst.
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
     * Counts refusals with {@code CONFIGURATION_STALE} at instances that nothing had cut off from
     * store or peers or paused for 6 s, or started for 15 s; it has no reason to refuse.
     */
    public long needlessStaleRefusals() {
        return mHistory.calls().stream()
                .filter(c -> c.answer().map(Answer::code).orElse("").equals(CONFIGURATION_STALE))
                .filter(c -> !isDisrupted(c))
                .count();
    }

    private boolean isDisrupted(CallRecord record) {
        String instance = record.call().instance();
        long from = record.startNanos() - RECOVERY_GRACE_NANOS;
        long until = record.endNanos();
        return mHistory.hasEvent(
                        HistoryEvent.Kind.INSTANCE_STARTED,
                        instance,
                        until - START_GRACE_NANOS,
                        until)
                || mHistory.wasInState(
                        HistoryEvent.Kind.INSTANCE_CUT,
                        HistoryEvent.Kind.INSTANCE_HEALED,
                        instance,
                        from,
                        until)
                || mHistory.wasInState(
                        HistoryEvent.Kind.INSTANCE_FROZEN,
                        HistoryEvent.Kind.INSTANCE_THAWED,
                        instance,
                        from,
                        until);
    }

    /**
     * Counts the rate refusals beyond those of one ideal bucket that the same requests had met.
     *
     * <p>A fleet that uses 97% of a rate under constant over-demand leaves an ideal bucket some
     * room all the time; counting every refusal that met such room would call nearly all of them
     * wrongful.
     */
    private static long countWrongfulRefusals(List<CallRecord> calls, RateLimit limit) {
        double level = 0;
        long last = 0;
        long ideal = 0;
        long actual = 0;
        for (CallRecord call : calls) {
            boolean isRefused = call.answer().map(Answer::code).orElse("").equals(RATE_EXCEEDED);
            if (!isRefused && call.isNotRun()) {
                continue;
            }
            double seconds = last == 0 ? 0 : (call.startNanos() - last) / NANOS_PER_SECOND;
            level = Math.max(0, level - limit.ratePerSecond() * seconds);
            last = call.startNanos();
            if (level + 1 <= limit.burst()) {
                level++;
            } else {
                ideal++;
            }
            actual += isRefused ? 1 : 0;
        }
        return Math.max(0, actual - ideal);
    }

    /** Returns one line for each workspace: successes, refusals by code, p50 and p99. */
    public List<String> workspaceSummaries() {
        List<String> lines = new ArrayList<>();
        mHistory.callsBy(record -> record.call().workspace())
                .forEach((workspace, calls) -> lines.add(summarizeWorkspace(workspace, calls)));
        return lines;
    }

    private static String summarizeWorkspace(String workspace, List<CallRecord> calls) {
        Histogram histogram = new Histogram(SIGNIFICANT_DIGITS);
        Map<String, Integer> others = new TreeMap<>();
        for (CallRecord call : calls) {
            if (call.isSuccess()) {
                histogram.recordValue(
                        Math.max(
                                0,
                                TimeUnit.NANOSECONDS.toMicros(
                                        call.endNanos() - call.startNanos())));
            } else {
                others.merge(
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
                others);
    }
}
