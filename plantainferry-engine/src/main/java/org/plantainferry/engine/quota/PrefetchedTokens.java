package org.plantainferry.engine.quota;

/**
 * Holds tokens that a keeper granted beyond the one that was needed.
 *
 * <p>They spare a busy workspace a question for each operation, and lapse soon, because operations
 * are counted where they arrive in a window of seconds. Times are monotonic nanoseconds. Used by
 * one thread.
 *
 * @since 0.2
 */
public final class PrefetchedTokens {
    private static final long LIFETIME_NANOS = 200_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int MAXIMUM_REQUEST_COUNT = 8;

    private int mTokens;
    private long mUntilNanos;

    /** Returns how many tokens to ask for, given the operations a second here. */
    public static int requestCount(double demandPerSecond) {
        int soon = (int) (demandPerSecond * LIFETIME_NANOS / NANOS_PER_SECOND);
        return Math.min(MAXIMUM_REQUEST_COUNT, 1 + soon);
    }

    /** Keeps tokens for a short time. */
    public void add(int tokens, long nowNanos) {
        if (nowNanos - mUntilNanos >= 0) {
            mTokens = 0;
        }
        mTokens += tokens;
        mUntilNanos = nowNanos + LIFETIME_NANOS;
    }

    /** Takes a token if one is left. */
    public boolean tryAcquire(long nowNanos) {
        if (mTokens == 0 || nowNanos - mUntilNanos >= 0) {
            return false;
        }
        mTokens--;
        return true;
    }
}
