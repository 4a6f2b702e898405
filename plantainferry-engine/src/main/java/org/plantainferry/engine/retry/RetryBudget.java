package org.plantainferry.engine.retry;

import org.plantainferry.api.Preconditions;

/**
 * Limits the retries of a service, so that they do not multiply the load on a failing target.
 *
 * <p>A retry is permitted only while the retries of the last 10 s, including itself, are at most
 * 10% of the requests in that time plus 10. The window advances in steps of 1 s and consists of the
 * current step and the 10 previous steps.
 *
 * @since 0.1
 */
public final class RetryBudget {
    private static final long STEP_NANOS = 1_000_000_000L;

    /** The current step and 10 full steps, which always cover the last 10 s. */
    private static final int WINDOW_STEPS = 11;

    private static final long REQUESTS_PER_RETRY = 10;
    private static final long BASE_RETRIES = 10;

    private final long[] mRequests = new long[WINDOW_STEPS];
    private final long[] mRetries = new long[WINDOW_STEPS];
    private final long mOriginNanos;
    private long mBaseRetries = BASE_RETRIES;
    private long mStep;
    private long mRequestSum;
    private long mRetrySum;

    /** Creates an unused budget. */
    public RetryBudget(long nowNanos) {
        mOriginNanos = nowNanos;
    }

    /**
     * Divides the 10 retries that do not depend on the number of requests among instances, each of
     * which may make at least one of them.
     */
    public void shareAmong(int instances) {
        Preconditions.condition(instances >= 1, "instances must be at least 1: " + instances);
        mBaseRetries = Math.max(1, BASE_RETRIES / instances);
    }

    /** Counts a request; its retries must not be counted. */
    public void onRequest(long nowNanos) {
        advance(nowNanos);
        mRequests[index(mStep)]++;
        mRequestSum++;
    }

    /** Takes one retry from the budget, or returns false if the budget is used up. */
    public boolean tryAcquire(long nowNanos) {
        advance(nowNanos);
        if (available() < 1) {
            return false;
        }
        mRetries[index(mStep)]++;
        mRetrySum++;
        return true;
    }

    /** Counts a second attempt that another limit has permitted; the budget may become negative. */
    public void onSecondAttempt(long nowNanos) {
        advance(nowNanos);
        mRetries[index(mStep)]++;
        mRetrySum++;
    }

    /** Returns the number of retries that the budget allows now. */
    public long available(long nowNanos) {
        advance(nowNanos);
        return Math.max(0, available());
    }

    private long available() {
        return mBaseRetries + mRequestSum / REQUESTS_PER_RETRY - mRetrySum;
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
