package org.plantainferry.engine.processor;

import java.util.concurrent.TimeUnit;

/**
 * Recognizes periods in which a thread gets too little processor time.
 *
 * <p>A period begins with two long delays in a row, so that a process that was only suspended once
 * is not short, and ends after several short ones in a row, so that one quick task does not end it.
 * Times are monotonic nanoseconds. Not thread-safe.
 *
 * @since 0.6
 */
public final class ProcessorShortage {
    /** The delay from which on a thread is short of processor time. */
    public static final long BEGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** The delay up to which a thread may be out of the shortage again. */
    public static final long END_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

    private static final int LONG_DELAYS_TO_BEGIN = 2;
    private static final int SHORT_DELAYS_TO_END = 5;

    private boolean mShort;
    private int mLongDelays;
    private int mShortDelays;
    private long mBeganNanos;
    private long mEndedNanos;
    private long mLongestNanos;

    /** Tells what a measurement has changed. */
    public enum Change {
        /** Nothing has changed. */
        NONE,
        /** A period has begun. */
        BEGUN,
        /** The period has ended. */
        ENDED
    }

    /** Applies a measured delay. */
    public Change onDelay(long delayNanos, long nowNanos) {
        if (!mShort) {
            mLongDelays = delayNanos >= BEGIN_NANOS ? mLongDelays + 1 : 0;
            return mLongDelays >= LONG_DELAYS_TO_BEGIN ? begin(delayNanos, nowNanos) : Change.NONE;
        }
        mLongestNanos = Math.max(mLongestNanos, delayNanos);
        mShortDelays = delayNanos <= END_NANOS ? mShortDelays + 1 : 0;
        if (mShortDelays < SHORT_DELAYS_TO_END) {
            return Change.NONE;
        }
        mShort = false;
        mEndedNanos = nowNanos;
        return Change.ENDED;
    }

    private Change begin(long delayNanos, long nowNanos) {
        mShort = true;
        mLongDelays = 0;
        mShortDelays = 0;
        mBeganNanos = nowNanos;
        mLongestNanos = delayNanos;
        return Change.BEGUN;
    }

    /** Returns whether a period goes on or the latest delay may begin one. */
    public boolean needsMeasurement() {
        return mShort || mLongDelays > 0;
    }

    /** Returns whether a period goes on. */
    public boolean isShort() {
        return mShort;
    }

    /** Returns the longest delay of the latest period, in nanoseconds. */
    public long longestNanos() {
        return mLongestNanos;
    }

    /** Returns how long the latest period that has ended took, in nanoseconds. */
    public long durationNanos() {
        return mEndedNanos - mBeganNanos;
    }
}
