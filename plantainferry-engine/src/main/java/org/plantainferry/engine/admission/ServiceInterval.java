package org.plantainferry.engine.admission;

/** Estimates the time between two requests that leave a queue while others wait. */
final class ServiceInterval {
    /** Weight of a new sample; about the last twenty count. */
    private static final double SAMPLE_WEIGHT = 0.1;

    private double mIntervalNanos;
    private boolean mBusy;
    private long mBusySinceNanos;

    ServiceInterval(long intervalNanos) {
        mIntervalNanos = intervalNanos;
    }

    /** Notes that the first request waits. */
    void onBusy(long nowNanos) {
        mBusy = true;
        mBusySinceNanos = nowNanos;
    }

    /** Notes that a request left; an interval counts only if the queue was never empty in it. */
    void onServed(long nowNanos, boolean stillBusy) {
        if (mBusy && stillBusy) {
            mIntervalNanos += SAMPLE_WEIGHT * (nowNanos - mBusySinceNanos - mIntervalNanos);
        }
        mBusy = stillBusy;
        mBusySinceNanos = nowNanos;
    }

    /** Returns the estimate; while nothing leaves the queue it grows with the time of the stop. */
    long nanos(long nowNanos, boolean busy) {
        long stopped = busy && mBusy ? nowNanos - mBusySinceNanos : 0;
        return Math.max(1, Math.max((long) mIntervalNanos, stopped));
    }
}
