package org.plantainferry.engine.retry;

import org.plantainferry.api.Preconditions;

/**
 * Limits the repeats of a service, so that repeats do not multiply the load of a failing target.
 *
 * <p>A repeat is granted only while the repeats of the last 10 s, itself included, are at most 10%
 * of the requests of that time plus 10. The window moves in steps of 1 s and holds the step that
 * has begun plus the 10 before it.
 *
 * @since 0.1
 */
public final class RetryBudget {
    private static final long STEP_NANOS = 1_000_000_000L;

    /** Covers 10 s at each point of the current step. */
    private static final int WINDOW_STEPS = 11;

    private static final long REQUESTS_PER_RETRY = 10;
    private static final long BASE_RETRIES = 10;

    private final long[] mRequests = new long[WINDOW_STEPS];
    private final long[] mRetries = new long[WINDOW_STEPS];
    private final long mOriginNanos;
    private long mStep;
    private long mRequestSum;
    private long mRetrySum;

    /** Creates an unspent budget. */
    public RetryBudget(long nowNanos) {
        mOriginNanos = nowNanos;
    }

    /** Counts a request; its repeats are not counted here. */
    public void onRequest(long nowNanos) {
        advance(nowNanos);
        mRequests[index(mStep)]++;
        mRequestSum++;
    }

    /** Takes one repeat out of the budget, or returns false when the budget is spent. */
    public boolean tryAcquire(long nowNanos) {
        advance(nowNanos);
        if (available() < 1) {
            return false;
        }
        mRetries[index(mStep)]++;
        mRetrySum++;
        return true;
    }

    /** Returns the number of repeats that the budget allows now. */
    public long available(long nowNanos) {
        advance(nowNanos);
        return Math.max(0, available());
    }

    private long available() {
        return BASE_RETRIES + mRequestSum / REQUESTS_PER_RETRY - mRetrySum;
    }

    private void advance(long nowNanos) {
        long step = Math.max(mStep, (nowNanos - mOriginNanos) / STEP_NANOS);
        Preconditions.condition(step >= 0, "nowNanos must not be before the creation");
        long first = Math.max(mStep + 1, step - WINDOW_STEPS + 1);
        for (long next = first; next <= step; next++) {
            int index = index(next);
            mRequestSum -= mRequests[index];
            mRetrySum -= mRetries[index];
            mRequests[index] = 0;
            mRetries[index] = 0;
        }
        mStep = step;
    }

    private static int index(long step) {
        return (int) (step % WINDOW_STEPS);
    }
}
