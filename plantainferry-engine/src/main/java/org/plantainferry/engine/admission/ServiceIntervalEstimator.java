package org.plantainferry.engine.admission;

/** Estimates the time between two requests that leave a queue while others wait. */
final class ServiceIntervalEstimator {
    /** Weight of a new sample; about the last twenty count. */
    private static final double SAMPLE_WEIGHT = 0.1;

    /**
     * Bounds a sample relative to the estimate, so that one stop, such as a change of primary, does
     * not make the queue refuse what it can serve afterwards.
     */
    private static final double MAXIMUM_SAMPLE_RATIO = 4;

    private double mIntervalNanos;
    private boolean mBusy;
    private long mBusySinceNanos;

    ServiceIntervalEstimator(long intervalNanos) {
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
            double sample =
                    Math.min(
                            nowNanos - mBusySinceNanos,
                            Math.max(1, mIntervalNanos) * MAXIMUM_SAMPLE_RATIO);
            mIntervalNanos += SAMPLE_WEIGHT * (sample - mIntervalNanos);
        }
        mBusy = stillBusy;
        mBusySinceNanos = nowNanos;
    }

    /** Returns the estimated time between two requests, in nanoseconds. */
    long intervalNanos() {
        return Math.max(1, (long) mIntervalNanos);
    }

    /**
     * Returns the estimated time until the next request leaves, in nanoseconds.
     *
     * <p>While nothing leaves the queue, the stop is assumed to last as long again as it has.
     */
    long untilNextNanos(long nowNanos) {
        return mBusy ? Math.max(intervalNanos(), nowNanos - mBusySinceNanos) : intervalNanos();
    }

    /** Notes that the queue is empty without a request served. */
    void onIdle() {
        mBusy = false;
    }
}
