package org.plantainferry.engine.quota;

/**
 * Counts the tokens of one workspace on one instance.
 *
 * <p>A larger share adds room for tokens, but no tokens, so that moving a share between instances
 * never creates any. Times are steady nanoseconds. Used by one thread.
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

    /** Sets rate and capacity. */
    public void resize(double ratePerSecond, double capacity, long nowNanos) {
        refill(nowNanos);
        mRatePerSecond = ratePerSecond;
        mCapacity = capacity;
        mTokens = mInitialized ? Math.min(mTokens, capacity) : capacity;
        mInitialized = true;
    }

    /** Takes a token if there is one. */
    public boolean tryAcquire(long nowNanos) {
        refill(nowNanos);
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        return true;
    }

    /**
     * Takes tokens; more than one only out of the upper half of the capacity.
     *
     * @return how many were taken, from 0 to the number that is wanted
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

    /** Returns the milliseconds until a token is due, at least 1. */
    public long millisUntilToken(long nowNanos, long atMostMillis) {
        refill(nowNanos);
        if (mRatePerSecond <= 0) {
            return atMostMillis;
        }
        double seconds = Math.max(0, 1 - mTokens) / mRatePerSecond;
        return Math.max(1, Math.min(atMostMillis, (long) Math.ceil(seconds * 1_000)));
    }

    private void refill(long nowNanos) {
        double elapsed = Math.max(0, nowNanos - mUpdatedNanos) / NANOS_PER_SECOND;
        mTokens = Math.min(mCapacity, mTokens + elapsed * mRatePerSecond);
        mUpdatedNanos = nowNanos;
    }
}
