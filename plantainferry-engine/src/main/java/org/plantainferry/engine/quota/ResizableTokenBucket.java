package org.plantainferry.engine.quota;

/**
 * Limits the operations of one workspace on one instance with a token bucket that can be resized.
 *
 * <p>A larger share increases the capacity but adds no tokens, so that moving a share between
 * instances never creates tokens. Times are monotonic nanoseconds. Not thread-safe.
 *
 * @since 0.2
 */
public final class ResizableTokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private double mRatePerSecond;
    private double mCapacity;
    private double mTokens;
    private long mUpdatedNanos;
    private boolean mInitialized;

    /** Creates an empty bucket; the first {@link #resize} fills it. */
    public ResizableTokenBucket(long nowNanos) {
        mUpdatedNanos = nowNanos;
    }

    /** Sets the rate and capacity; tokens above the new capacity are lost. */
    public void resize(double ratePerSecond, double capacity, long nowNanos) {
        refill(nowNanos);
        mRatePerSecond = ratePerSecond;
        mCapacity = capacity;
        mTokens = mInitialized ? Math.min(mTokens, capacity) : capacity;
        mInitialized = true;
    }

    /** Takes a token, or returns false if there is none. */
    public boolean tryAcquire(long nowNanos) {
        refill(nowNanos);
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        return true;
    }

    /**
     * Takes up to the wanted number of tokens; more than one only from the upper half of the
     * capacity.
     *
     * @return the number of tokens taken
     */
    public int acquireUpTo(int wanted, long nowNanos) {
        int taken = 0;
        while (taken < wanted && tryAcquire(nowNanos)) {
            taken++;
            if (mTokens < mCapacity / 2) {
                break;
            }
        }
        return taken;
    }

    /** Returns the milliseconds until a token is due, from 1 to the given maximum. */
    public long millisUntilToken(long nowNanos, long maximumMillis) {
        refill(nowNanos);
        if (mRatePerSecond <= 0) {
            return maximumMillis;
        }
        double seconds = Math.max(0, 1 - mTokens) / mRatePerSecond;
        return Math.max(1, Math.min(maximumMillis, (long) Math.ceil(seconds * 1_000)));
    }

    private void refill(long nowNanos) {
        double elapsed = Math.max(0, nowNanos - mUpdatedNanos) / NANOS_PER_SECOND;
        mTokens = Math.min(mCapacity, mTokens + elapsed * mRatePerSecond);
        mUpdatedNanos = nowNanos;
    }
}
