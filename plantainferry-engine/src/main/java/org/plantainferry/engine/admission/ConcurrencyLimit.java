package org.plantainferry.engine.admission;

import org.plantainferry.api.Preconditions;

/**
 * Bounds the requests in flight to one server and adapts the bound to what the server can take.
 *
 * <p>The limit grows by one for each limit's worth of successes while it is fully used. It shrinks
 * when the server says that it is busy, or when its latency has grown to several times its least.
 *
 * @since 0.1
 */
public final class ConcurrencyLimit {
    /** Says how a request in flight ended. */
    public enum Outcome {
        /** The server answered. */
        ANSWERED,
        /** The server refused because it is busy. */
        BUSY,
        /** No answer came, which says nothing about the load of the server. */
        FAILED
    }

    private static final double BUSY_DECREASE_FACTOR = 0.7;
    private static final double LATENCY_DECREASE_FACTOR = 0.9;

    /** Statements differ in duration, so only a mean latency far above the least counts. */
    private static final double LATENCY_RATIO_THRESHOLD = 4;

    private static final double LATENCY_WEIGHT = 0.1;

    /** Requests that were in flight at a decrease tell nothing about the new limit. */
    private static final long MINIMUM_DECREASE_INTERVAL_NANOS = 100_000_000L;

    /** The least latency is measured anew after this time, since the kind of load changes. */
    private static final long BASELINE_PERIOD_NANOS = 30_000_000_000L;

    private double mMaximum;
    private double mLimit;
    private int mInFlight;
    private double mMeanLatencyNanos;
    private double mMinimumLatencyNanos = Double.MAX_VALUE;
    private double mNextMinimumLatencyNanos = Double.MAX_VALUE;
    private boolean mHasSamples;
    private long mBaselineSinceNanos;
    private boolean mDecreased;
    private long mDecreasedAtNanos;

    /**
     * Creates a limit that begins at its maximum.
     *
     * @param maximum the greatest number of requests in flight; at least 1
     */
    public ConcurrencyLimit(int maximum) {
        Preconditions.condition(maximum >= 1, "maximum must be at least 1: " + maximum);
        mMaximum = maximum;
        mLimit = maximum;
    }

    /** Takes over another maximum; requests in flight beyond it end in their own time. */
    public void setMaximum(int maximum) {
        Preconditions.condition(maximum >= 1, "maximum must be at least 1: " + maximum);
        mMaximum = maximum;
        mLimit = Math.min(mLimit, maximum);
    }

    /** Takes a place in flight, or returns false when all are taken. */
    public boolean tryAcquire() {
        if (mInFlight >= limit()) {
            return false;
        }
        mInFlight++;
        return true;
    }

    /**
     * Gives a place back.
     *
     * @param latencyNanos the time that the request was in flight
     */
    public void release(Outcome outcome, long latencyNanos, long nowNanos) {
        Preconditions.notNull(outcome, "outcome");
        Preconditions.condition(mInFlight > 0, "release without a place taken");
        boolean full = mInFlight >= limit();
        mInFlight--;
        if (outcome == Outcome.BUSY) {
            decrease(BUSY_DECREASE_FACTOR, nowNanos);
        } else if (outcome == Outcome.ANSWERED) {
            recordLatency(latencyNanos, nowNanos);
            if (mMeanLatencyNanos > LATENCY_RATIO_THRESHOLD * mMinimumLatencyNanos
                    && mInFlight > 0) {
                decrease(LATENCY_DECREASE_FACTOR, nowNanos);
            } else if (full) {
                mLimit = Math.min(mMaximum, mLimit + 1 / mLimit);
            }
        }
    }

    /** Returns the number of requests that may be in flight now. */
    public int limit() {
        return (int) mLimit;
    }

    /** Returns the number of requests in flight. */
    public int inFlight() {
        return mInFlight;
    }

    private void recordLatency(long latencyNanos, long nowNanos) {
        if (!mHasSamples) {
            mHasSamples = true;
            mMeanLatencyNanos = latencyNanos;
            mBaselineSinceNanos = nowNanos;
        }
        mMeanLatencyNanos += LATENCY_WEIGHT * (latencyNanos - mMeanLatencyNanos);
        if (nowNanos - mBaselineSinceNanos > BASELINE_PERIOD_NANOS) {
            mMinimumLatencyNanos = mNextMinimumLatencyNanos;
            mNextMinimumLatencyNanos = Double.MAX_VALUE;
            mBaselineSinceNanos = nowNanos;
        }
        mMinimumLatencyNanos = Math.min(mMinimumLatencyNanos, latencyNanos);
        mNextMinimumLatencyNanos = Math.min(mNextMinimumLatencyNanos, latencyNanos);
    }

    private void decrease(double factor, long nowNanos) {
        if (mDecreased && nowNanos - mDecreasedAtNanos < MINIMUM_DECREASE_INTERVAL_NANOS) {
            return;
        }
        mDecreased = true;
        mDecreasedAtNanos = nowNanos;
        mLimit = Math.max(1, mLimit * factor);
    }
}
