package org.plantainferry.engine.admission;

/**
 * Estimates the time between two requests that leave a non-empty queue.
 *
 * @since 0.4
 */
public final class ServiceIntervalEstimator {
    /** The weight of a new sample; effectively, about the last 20 samples count. */
    private static final double SAMPLE_WEIGHT = 0.1;

    /**
     * Limits a sample relative to the estimate, so that a single stall, such as a change of
     * primary, does not cause the queue to refuse requests that it could serve afterwards.
     */
    private static final double MAXIMUM_SAMPLE_RATIO = 4;

    private double mIntervalNanos;
    private boolean mBusy;
    private long mBusySinceNanos;

    /** Creates an estimator with an initial estimate. */
    public ServiceIntervalEstimator(long intervalNanos) {
        mIntervalNanos = intervalNanos;
    }

    /** Records that the queue is no longer empty. */
    public void onBusy(long nowNanos) {
        mBusy = true;
        mBusySinceNanos = nowNanos;
    }

    /** Records a served request; an interval counts only if the queue was non-empty throughout. */
    public void onServed(long nowNanos, boolean stillBusy) {
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
    public long intervalNanos() {
        return Math.max(1, (long) mIntervalNanos);
    }

    /**
     * Returns the estimated time until the next request leaves, in nanoseconds.
     *
     * <p>During a stall, the remaining time is assumed to equal the time already elapsed.
     */
    public long untilNextNanos(long nowNanos) {
        return mBusy ? Math.max(intervalNanos(), nowNanos - mBusySinceNanos) : intervalNanos();
    }

    /** Records that the queue became empty without serving a request. */
    public void onIdle() {
        mBusy = false;
    }
}
