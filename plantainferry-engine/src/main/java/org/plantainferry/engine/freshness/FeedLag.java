package org.plantainferry.engine.freshness;

import java.util.concurrent.TimeUnit;

/**
 * Decides when the connection to a followed instance counts as broken because changes that the
 * instance knows do not arrive.
 *
 * <p>A change is often in transit when the instance is asked, so a lag counts only once it has
 * lasted for some time. Times are monotonic nanoseconds. Not thread-safe.
 *
 * @since 0.3
 */
public final class FeedLag {
    private static final long TOLERATED_NANOS = TimeUnit.MILLISECONDS.toNanos(450);

    private boolean mBehind;
    private long mBehindSinceNanos;

    /** Returns whether changes were missing when the followed instance answered last. */
    public boolean isBehind() {
        return mBehind;
    }

    /**
     * Records an answer of the followed instance.
     *
     * @param behind whether it knows changes that have not arrived
     * @return whether the connection is to be replaced
     */
    public boolean onAnswer(boolean behind, long nowNanos) {
        if (!behind) {
            mBehind = false;
            return false;
        }
        if (!mBehind) {
            mBehind = true;
            mBehindSinceNanos = nowNanos;
            return false;
        }
        boolean isBroken = nowNanos - mBehindSinceNanos >= TOLERATED_NANOS;
        if (isBroken) {
            mBehindSinceNanos = nowNanos;
        }
        return isBroken;
    }

    /** Forgets the lag, because another source is followed. */
    public void reset() {
        mBehind = false;
    }
}
