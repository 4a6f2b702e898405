package org.plantainferry.engine.capacity;

import org.plantainferry.api.Preconditions;

/**
 * Holds a limit that grows by addition and shrinks by multiplication, between 1 and a maximum.
 *
 * <p>Times are monotonic nanoseconds that are passed in. Not thread-safe.
 *
 * @since 0.4
 */
public final class AdaptiveLimit {
    private double mMaximum;
    private double mLimit;
    private boolean mDecreased;
    private long mDecreasedAtNanos;

    /**
     * Creates a limit.
     *
     * @param initial the limit at first; at least 1
     * @param maximum the greatest limit; at least {@code initial}
     */
    public AdaptiveLimit(int initial, int maximum) {
        Preconditions.condition(initial >= 1, "initial must be at least 1: " + initial);
        Preconditions.condition(
                maximum >= initial, "maximum must be at least " + initial + ": " + maximum);
        mLimit = initial;
        mMaximum = maximum;
    }

    /** Sets a new maximum, which also bounds the present limit. */
    public void setMaximum(int maximum) {
        Preconditions.condition(maximum >= 1, "maximum must be at least 1: " + maximum);
        mMaximum = maximum;
        mLimit = Math.min(mLimit, maximum);
    }

    /** Returns the limit, rounded down. */
    public int value() {
        return (int) mLimit;
    }

    /**
     * Grows the limit by a fraction of 1 that adds up to {@code step} for each limit's worth of
     * calls.
     */
    public void grow(double step) {
        mLimit = Math.min(mMaximum, mLimit + step / mLimit);
    }

    /**
     * Multiplies the limit by a factor, unless it has shrunk within an interval.
     *
     * @return whether the limit has shrunk
     */
    public boolean shrink(double factor, long minimumIntervalNanos, long nowNanos) {
        if (mDecreased && nowNanos - mDecreasedAtNanos < minimumIntervalNanos) {
            return false;
        }
        mDecreased = true;
        mDecreasedAtNanos = nowNanos;
        mLimit = Math.max(1, mLimit * factor);
        return true;
    }
}
