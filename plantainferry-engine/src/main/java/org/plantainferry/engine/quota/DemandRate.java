package org.plantainferry.engine.quota;

/**
 * Measures operations a second with exponentially weighted means.
 *
 * <p>A mean over several seconds keeps the shares of instances with few callers steady; a mean over
 * one second takes its place while demand rises steeply. Times are monotonic nanoseconds. Used by
 * one thread.
 *
 * @since 0.2
 */
public final class DemandRate {
    private static final double SLOW_TIME_CONSTANT_SECONDS = 6.0;
    private static final double FAST_TIME_CONSTANT_SECONDS = 0.8;
    private static final double SURGE_FACTOR = 2.0;
    private static final double SURGE_MINIMUM_PER_SECOND = 5.0;
    private static final double NANOS_PER_SECOND = 1e9;

    private double mSlowPerSecond;
    private double mFastPerSecond;
    private long mUpdatedNanos;

    /** Creates a measure without demand. */
    public DemandRate(long nowNanos) {
        mUpdatedNanos = nowNanos;
    }

    /** Counts one operation. */
    public void count(long nowNanos) {
        decay(nowNanos);
        mSlowPerSecond += 1 / SLOW_TIME_CONSTANT_SECONDS;
        mFastPerSecond += 1 / FAST_TIME_CONSTANT_SECONDS;
    }

    /** Returns the present rate. */
    public double perSecond(long nowNanos) {
        decay(nowNanos);
        boolean isSurge = mFastPerSecond > mSlowPerSecond * SURGE_FACTOR + SURGE_MINIMUM_PER_SECOND;
        return isSurge ? mFastPerSecond : mSlowPerSecond;
    }

    private void decay(long nowNanos) {
        double elapsed = Math.max(0, nowNanos - mUpdatedNanos) / NANOS_PER_SECOND;
        mSlowPerSecond *= Math.exp(-elapsed / SLOW_TIME_CONSTANT_SECONDS);
        mFastPerSecond *= Math.exp(-elapsed / FAST_TIME_CONSTANT_SECONDS);
        mUpdatedNanos = nowNanos;
    }
}
