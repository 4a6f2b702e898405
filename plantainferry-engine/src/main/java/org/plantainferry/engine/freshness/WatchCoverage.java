package org.plantainferry.engine.freshness;

import java.util.concurrent.TimeUnit;

/**
 * Determines the time up to which the answer of a watch proves that nothing newer exists.
 *
 * @since 0.2
 */
public final class WatchCoverage {
    // Before a store discards its history, watches may miss changes for about a second.
    private static final long MISSED_EVENTS_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    private WatchCoverage() {}

    /**
     * Returns the time that an answer covers.
     *
     * <p>An answer without changes that arrives after the whole wait was sent no earlier than the
     * wait after the request. It covers that time, less the margin for missed events. Any other
     * answer covers only the sending of the request.
     *
     * @param sentNanos when the request was sent
     * @param nowNanos when the answer arrived
     * @param waitNanos how long the store was asked to wait
     * @param empty whether the answer has no changes
     */
    public static long coveredNanos(long sentNanos, long nowNanos, long waitNanos, boolean empty) {
        boolean isWholeWait = empty && nowNanos - sentNanos >= waitNanos;
        return isWholeWait
                ? sentNanos + Math.max(0, waitNanos - MISSED_EVENTS_MARGIN_NANOS)
                : sentNanos;
    }
}
