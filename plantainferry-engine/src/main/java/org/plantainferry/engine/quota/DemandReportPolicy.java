package org.plantainferry.engine.quota;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides when an instance tells the others of its demand.
 *
 * <p>A sudden rise is told at once, because the shares of the others are too large until they know
 * of it. All other changes can wait, because reports between failure domains are expensive. Times
 * are monotonic nanoseconds. Used by one thread.
 *
 * @since 0.2
 */
public final class DemandReportPolicy {
    private static final long CHANGED_REPORT_PERIOD_NANOS = 2_500_000_000L;
    private static final long UNCHANGED_REPORT_PERIOD_NANOS = 5_000_000_000L;
    private static final double CHANGE_FRACTION = 0.2;
    private static final double CHANGE_MINIMUM_PER_SECOND = 0.3;
    private static final double RISE_FACTOR = 1.8;
    private static final double RISE_MINIMUM_PER_SECOND = 2.0;

    private Map<String, Double> mReportedDemand = Map.of();
    private long mReportedNanos;
    private boolean mHasReported;

    /** Creates a policy; its first report is due at once, so that the others know of it. */
    public DemandReportPolicy(long nowNanos) {
        mReportedNanos = nowNanos;
    }

    /**
     * Returns whether a report is due, and if so takes the demand for reported.
     *
     * @param demandPerSecond the demand of each workspace
     */
    public boolean recordIfDue(Map<String, Double> demandPerSecond, long nowNanos) {
        long age = nowNanos - mReportedNanos;
        boolean isDue =
                !mHasReported
                        || age >= UNCHANGED_REPORT_PERIOD_NANOS
                        || (age >= CHANGED_REPORT_PERIOD_NANOS && isChanged(demandPerSecond))
                        || hasRisen(demandPerSecond);
        if (isDue) {
            mHasReported = true;
            mReportedDemand = new HashMap<>(demandPerSecond);
            mReportedNanos = nowNanos;
        }
        return isDue;
    }

    private boolean isChanged(Map<String, Double> demandPerSecond) {
        return demandPerSecond.entrySet().stream()
                .anyMatch(
                        each -> {
                            double before = reported(each.getKey());
                            double change = Math.abs(each.getValue() - before);
                            return change >= CHANGE_MINIMUM_PER_SECOND
                                    && change >= before * CHANGE_FRACTION;
                        });
    }

    private boolean hasRisen(Map<String, Double> demandPerSecond) {
        return demandPerSecond.entrySet().stream()
                .anyMatch(
                        each ->
                                each.getValue()
                                        > reported(each.getKey()) * RISE_FACTOR
                                                + RISE_MINIMUM_PER_SECOND);
    }

    private double reported(String workspace) {
        return mReportedDemand.getOrDefault(workspace, 0.0);
    }
}
