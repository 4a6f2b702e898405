package org.plantainferry.engine.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Divides the limits of workspaces among the instances in proportion to their demand.
 *
 * <p>All instances that have heard the same reports compute shares that add up to one. An instance
 * that has fallen silent keeps its last share for a while, because it may serve on behind a
 * partition. An instance that is registered and was never heard counts with an even share. A report
 * speaks of all workspaces: one that it does not name has no demand. Used by one thread.
 *
 * @since 0.2
 */
public final class DemandShares {
    /** How long the last report of a silent instance counts. */
    public static final long REPORT_LIFETIME_NANOS = 12_000_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    // Each instance keeps a part of the limit without demand, so that a first caller is served.
    private static final double IDLE_FRACTION = 0.15;
    // What nobody asks for is divided partly evenly, because few callers ask unevenly over time.
    private static final double UNUSED_FRACTION = 0.5;

    private record Report(Map<String, Double> demandPerSecond, long receivedNanos) {
        double demandOf(String workspace) {
            return demandPerSecond.getOrDefault(workspace, 0.0);
        }
    }

    private final Map<String, Report> mReports = new HashMap<>();

    /** Records the demand that another instance reported, by workspace. */
    public void report(String instance, Map<String, Double> demandPerSecond, long nowNanos) {
        mReports.put(instance, new Report(Map.copyOf(demandPerSecond), nowNanos));
    }

    /**
     * Returns the part of the limit that this instance may use, from 0 to 1.
     *
     * @param others the registered instances besides this one
     * @param ownDemand operations a second that this instance last reported to the others; a share
     *     that grew before they know of it would make all shares exceed the limit
     * @param ratePerSecond the limit of the workspace
     */
    public double share(
            String workspace,
            Set<String> others,
            double ownDemand,
            double ratePerSecond,
            long nowNanos) {
        mReports.values().removeIf(each -> nowNanos - each.receivedNanos() > REPORT_LIFETIME_NANOS);
        double even = ratePerSecond / (others.size() + 1);
        double demand = ownDemand;
        for (String other : others) {
            Report report = mReports.get(other);
            demand += report == null ? even : report.demandOf(workspace);
        }
        for (Map.Entry<String, Report> each : mReports.entrySet()) {
            demand += others.contains(each.getKey()) ? 0 : each.getValue().demandOf(workspace);
        }
        double unused = Math.max(0, ratePerSecond - demand) / (others.size() + 1);
        double idle = Math.max(even * IDLE_FRACTION, unused * UNUSED_FRACTION);
        double total = demand + idle * (others.size() + 1);
        return total <= 0 ? 0 : (ownDemand + idle) / total;
    }

    /** Describes the reports that count for a workspace, for logs. */
    public String describe(String workspace, Set<String> others, long nowNanos) {
        double demand = 0;
        int unknown = 0;
        long oldest = 0;
        for (String other : others) {
            Report report = mReports.get(other);
            if (report == null) {
                unknown++;
                continue;
            }
            demand += report.demandOf(workspace);
            oldest = Math.max(oldest, nowNanos - report.receivedNanos());
        }
        return String.format(
                "%.2f unknown=%d oldest-ms=%d", demand, unknown, oldest / NANOS_PER_MILLI);
    }
}
