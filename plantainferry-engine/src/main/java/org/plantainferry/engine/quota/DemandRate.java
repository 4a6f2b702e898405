package org.plantainferry.engine.quota;

/**
 * Measures operations a second with an exponentially weighted mean.
 *
 * <p>Times are monotonic nanoseconds. Used by one thread.
 *
 * @since 0.2
 */
public final class DemandRate {
    private static final double WINDOW_SECONDS = 1.0;
    private static final double NANOS_PER_SECOND = 1e9;

    private double mPerSecond;
    private long mUpdatedNanos;

    /** Creates a measure without demand. */
    public DemandRate(long nowNanos) {
        mUpdatedNanos = nowNanos;
    }

    /** Counts one operation. */
    public void count(long nowNanos) {
        decay(nowNanos);
        mPerSecond += 1 / WINDOW_SECONDS;
    }

    /** Returns the present rate. */
    public double perSecond(long nowNanos) {
        decay(nowNanos);
        return mPerSecond;
    }

    private void decay(long nowNanos) {
        double elapsed = Math.max(0, nowNanos - mUpdatedNanos) / NANOS_PER_SECOND;
        mPerSecond *= Math.exp(-elapsed / WINDOW_SECONDS);
        mUpdatedNanos = nowNanos;
    }
}
