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
    private static final double SLOW_SECONDS = 6.0;
    private static final double FAST_SECONDS = 0.8;
    private static final double SURGE_FACTOR = 2.0;
    private static final double SURGE_LEAST = 5.0;
    private static final double NANOS_PER_SECOND = 1e9;

    private double mSlow;
    private double mFast;
    private long mUpdatedNanos;

    /** Creates a measure without demand. */
    public DemandRate(long nowNanos) {
        mUpdatedNanos = nowNanos;
    }

    /** Counts one operation. */
    public void count(long nowNanos) {
        decay(nowNanos);
        mSlow += 1 / SLOW_SECONDS;
        mFast += 1 / FAST_SECONDS;
    }

    /** Returns the present rate. */
    public double perSecond(long nowNanos) {
        decay(nowNanos);
        boolean isSurge = mFast > mSlow * SURGE_FACTOR + SURGE_LEAST;
        return isSurge ? mFast : mSlow;
    }

    private void decay(long nowNanos) {
        double elapsed = Math.max(0, nowNanos - mUpdatedNanos) / NANOS_PER_SECOND;
        mSlow *= Math.exp(-elapsed / SLOW_SECONDS);
        mFast *= Math.exp(-elapsed / FAST_SECONDS);
        mUpdatedNanos = nowNanos;
    }
}
