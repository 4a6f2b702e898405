package org.plantainferry.engine.processor;

import java.util.concurrent.TimeUnit;
import org.plantainferry.engine.capacity.AdaptiveLimit;

/**
 * Limits how many requests an instance works on at a time while its own processor is short.
 *
 * <p>A thread that gets too little processor time turns to all requests in turn, so that each of
 * them takes longer than its caller waits, and nothing is served although the processor is busy.
 * The limit grows with each request that ends within its latency objective, and shrinks with each
 * that takes longer. Without a shortage there is no limit. Times are monotonic nanoseconds. Not
 * thread-safe.
 *
 * @since 0.6
 */
public final class WorkLimit {
    private static final int MAX_LIMIT = 1_024;
    private static final double SHRINK_FACTOR = 0.8;
    // Requests that began before the limit shrank end late as well.
    private static final long SHRINK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long MIN_RETRY_MILLIS = 150;
    private static final long RETRY_SPREAD_MILLIS = 350;

    private AdaptiveLimit mLimit = new AdaptiveLimit(MAX_LIMIT, MAX_LIMIT);
    private boolean mShort;
    private int mInProgress;

    /** Records whether the processor is short; the limit holds only while it is. */
    public void onShortage(boolean isShort) {
        if (isShort && !mShort) {
            mLimit = new AdaptiveLimit(Math.max(1, mInProgress / 2), MAX_LIMIT);
        }
        mShort = isShort;
    }

    /** Returns whether a new operation may begin. */
    public boolean mayBegin() {
        return !mShort || mInProgress < mLimit.value();
    }

    /** Records that work on a request begins; statements of open transactions count as well. */
    public void onBegin() {
        mInProgress++;
    }

    /**
     * Records that work on a request has ended, with whatever result.
     *
     * @param elapsedNanos how long it took, including the wait for the thread
     * @param objectiveNanos how long it should take at most
     */
    public void onEnd(long elapsedNanos, long objectiveNanos, long nowNanos) {
        mInProgress--;
        if (!mShort) {
            return;
        }
        if (elapsedNanos <= objectiveNanos) {
            mLimit.grow(1);
        } else {
            mLimit.shrink(SHRINK_FACTOR, SHRINK_INTERVAL_NANOS, nowNanos);
        }
    }

    /** Returns the number of requests in progress. */
    public int inProgress() {
        return mInProgress;
    }

    /**
     * Returns when a refused caller may come back, in milliseconds.
     *
     * @param random from 0 to 1; spreads callers that were refused together
     */
    public long retryAfterMillis(double random) {
        return MIN_RETRY_MILLIS + (long) (RETRY_SPREAD_MILLIS * random);
    }
}
