package org.plantainferry.engine.admission;

import org.plantainferry.api.Preconditions;
import org.plantainferry.engine.capacity.AdaptiveLimit;

/**
 * Limits the requests in flight to one server and adapts the limit to the capacity of the server.
 *
 * <p>The limit grows by one for each limit's worth of successes while it is fully used. It shrinks
 * when the server reports that it is busy, or when its mean latency is several times its minimum.
 *
 * @since 0.1
 */
public final class ConcurrencyLimit {
    /** Describes how a request in flight ended. */
    public enum Outcome {
        /** The server answered. */
        ANSWERED,
        /** The server refused because it is busy. */
        BUSY,
        /** No answer arrived, which does not indicate the load of the server. */
        FAILED
    }

    private static final double BUSY_DECREASE_FACTOR = 0.7;
    private static final double LATENCY_DECREASE_FACTOR = 0.9;

    /** Statements differ in duration, so only a mean latency far above the minimum counts. */
    private static final double LATENCY_RATIO_THRESHOLD = 4;

    private static final double LATENCY_WEIGHT = 0.1;

    /** Results of requests that were in flight at a decrease do not reflect the new limit. */
    private static final long MINIMUM_DECREASE_INTERVAL_NANOS = 100_000_000L;

    /** The minimum latency is replaced after this time, because the kind of load changes. */
    private static final long BASELINE_PERIOD_NANOS = 30_000_000_000L;

    private final AdaptiveLimit mLimit;
    private int mInFlight;
    private double mMeanLatencyNanos;
    private double mMinimumLatencyNanos = Double.MAX_VALUE;
    private double mNextMinimumLatencyNanos = Double.MAX_VALUE;
    private boolean mHasSamples;
    private long mBaselineSinceNanos;

    /**
     * Creates a limit that starts at its maximum.
     *
     * @param maximum the greatest number of requests in flight; at least 1
     */
    public ConcurrencyLimit(int maximum) {
        Preconditions.condition(maximum >= 1, "maximum must be at least 1: " + maximum);
        mLimit = new AdaptiveLimit(maximum, maximum);
    }

    /** Sets a new maximum; requests in flight beyond it are not cancelled. */
    public void setMaximum(int maximum) {
        mLimit.setMaximum(maximum);
    }

    /** Acquires a permit for a request, or returns false if the limit is reached. */
    public boolean tryAcquire() {
        if (mInFlight >= limit()) {
            return false;
        }
        mInFlight++;
        return true;
    }

    /**
     * Releases the permit of a request and adapts the limit.
     *
     * @param latencyNanos the time that the request was in flight
     */
    public void release(Outcome outcome, long latencyNanos, long nowNanos) {
        Preconditions.notNull(outcome, "outcome");
        Preconditions.condition(mInFlight > 0, "release without a permit acquired");
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
                mLimit.grow(1);
            }
        }
    }

    /** Returns the number of requests that may be in flight now. */
    public int limit() {
        return mLimit.value();
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
        mLimit.shrink(factor, MINIMUM_DECREASE_INTERVAL_NANOS, nowNanos);
    }
}
