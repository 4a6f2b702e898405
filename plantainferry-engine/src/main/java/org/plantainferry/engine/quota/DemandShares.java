package org.plantainferry.engine.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Divides the limits of workspaces among the instances in proportion to their demand.
 *
 * <p>All instances that have received the same reports compute shares that add up to one. The last
 * report of a silent instance counts for some time, because the instance may still serve requests
 * behind a network partition. A registered instance that has not reported yet counts with an even
 * share, and while this instance has only just started, with at least the demand of this instance:
 * the others may be as busy, and would already have divided the whole limit among themselves. A
 * report covers all workspaces: one that it does not contain has no demand. Not thread-safe.
 *
 * @since 0.2
 */
public final class DemandShares {
    /** The time for which the last report of a silent instance counts. */
    public static final long REPORT_LIFETIME_NANOS = 12_000_000_000L;

    /** The time after a start within which each running instance has reported at least once. */
    static final long FIRST_REPORTS_NANOS = 6_000_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    // An instance without demand keeps this fraction of an even share to serve a first caller.
    private static final double IDLE_FRACTION = 0.15;
    // This fraction of the unused limit is divided evenly, because the demand of few callers
    // varies.
    private static final double UNUSED_FRACTION = 0.5;

    private record Report(Map<String, Double> demandPerSecond, long receivedNanos) {
        double demandOf(String workspace) {
            return demandPerSecond.getOrDefault(workspace, 0.0);
        }
    }

    private final Map<String, Report> mReports = new HashMap<>();
    private final long mStartedNanos;

    /** Creates the shares of an instance that starts now and has received no report. */
    public DemandShares(long nowNanos) {
        mStartedNanos = nowNanos;
    }

    /** Records the demand reported by another instance, in operations per second by workspace. */
    public void report(String instance, Map<String, Double> demandPerSecond, long nowNanos) {
        mReports.put(instance, new Report(Map.copyOf(demandPerSecond), nowNanos));
    }

    /**
     * Returns the fraction of the limit that this instance may use, from 0 to 1.
     *
     * @param others the registered instances besides this one
     * @param ownDemand operations per second that this instance last reported to the others; if its
     *     share grew before they received the report, the sum of shares would exceed the limit
     * @param ratePerSecond the limit of the workspace, in operations per second
     */
    public double share(
            String workspace,
            Set<String> others,
            double ownDemand,
            double ratePerSecond,
            long nowNanos) {
        mReports.values()
                .removeIf(report -> nowNanos - report.receivedNanos() > REPORT_LIFETIME_NANOS);
        double evenShare = ratePerSecond / (others.size() + 1);
        boolean isStarting = nowNanos - mStartedNanos < FIRST_REPORTS_NANOS;
        double unreportedDemand = isStarting ? Math.max(evenShare, ownDemand) : evenShare;
        double demand = ownDemand;
        for (String other : others) {
            Report report = mReports.get(other);
            demand += report == null ? unreportedDemand : report.demandOf(workspace);
        }
        for (Map.Entry<String, Report> entry : mReports.entrySet()) {
            demand += others.contains(entry.getKey()) ? 0 : entry.getValue().demandOf(workspace);
        }
        double unusedShare = Math.max(0, ratePerSecond - demand) / (others.size() + 1);
        double idleShare = Math.max(evenShare * IDLE_FRACTION, unusedShare * UNUSED_FRACTION);
        double total = demand + idleShare * (others.size() + 1);
        return total <= 0 ? 0 : (ownDemand + idleShare) / total;
    }

    /** Returns a description of the reports that count for a workspace, for logs. */
    public String describe(String workspace, Set<String> others, long nowNanos) {
        double demand = 0;
        int unreported = 0;
        long oldest = 0;
        for (String other : others) {
            Report report = mReports.get(other);
            if (report == null) {
                unreported++;
                continue;
            }
            demand += report.demandOf(workspace);
            oldest = Math.max(oldest, nowNanos - report.receivedNanos());
        }
        return String.format(
                "%.2f unknown=%d oldest-ms=%d", demand, unreported, oldest / NANOS_PER_MILLI);
    }
}
