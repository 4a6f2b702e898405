package org.plantainferry.engine.quota;

/**
 * Holds tokens that a limit owner granted in addition to the one that was needed.
 *
 * <p>They save a busy workspace a request to the owner for each operation. They expire soon,
 * because the limit applies to operations in a window of a few seconds, counted on arrival. Times
 * are monotonic nanoseconds. Not thread-safe.
 *
 * @since 0.2
 */
public final class PrefetchedTokens {
    private static final long LIFETIME_NANOS = 200_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int MAXIMUM_REQUEST_COUNT = 8;

    private int mTokens;
    private long mUntilNanos;

    /** Returns how many tokens to request, given the demand of this instance. */
    public static int requestCount(double demandPerSecond) {
        int expected = (int) (demandPerSecond * LIFETIME_NANOS / NANOS_PER_SECOND);
        return Math.min(MAXIMUM_REQUEST_COUNT, 1 + expected);
    }

    /** Adds tokens and extends the lifetime of all unexpired ones. */
    public void add(int tokens, long nowNanos) {
        if (nowNanos - mUntilNanos >= 0) {
            mTokens = 0;
        }
        mTokens += tokens;
        mUntilNanos = nowNanos + LIFETIME_NANOS;
    }

    /** Takes a token, or returns false if none is left or all have expired. */
    public boolean tryAcquire(long nowNanos) {
        if (mTokens == 0 || nowNanos - mUntilNanos >= 0) {
            return false;
        }
        mTokens--;
        return true;
    }
}
