package org.plantainferry.engine.freshness;

import java.util.concurrent.TimeUnit;

/**
 * Says for which time the answer of a watch shows that nothing newer exists.
 *
 * @since 0.2
 */
public final class WatchCoverage {
    // Before it drops its history, a store may leave watches without news for about a second.
    private static final long MISSED_EVENTS_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    private WatchCoverage() {}

    /**
     * Returns the time that an answer covers.
     *
     * <p>A watch that ended without a change after its whole wait was answered no earlier than that
     * long after its request was sent.
     *
     * @param sentNanos when the request was sent
     * @param nowNanos when the answer came
     * @param waitNanos how long the store was asked to wait
     * @param empty whether the answer names no change
     */
    public static long coveredNanos(long sentNanos, long nowNanos, long waitNanos, boolean empty) {
        boolean isWholeWait = empty && nowNanos - sentNanos >= waitNanos;
        return isWholeWait
                ? sentNanos + Math.max(0, waitNanos - MISSED_EVENTS_MARGIN_NANOS)
                : sentNanos;
    }
}
