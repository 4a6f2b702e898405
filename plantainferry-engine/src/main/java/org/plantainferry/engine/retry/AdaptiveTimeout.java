package org.plantainferry.engine.retry;

import org.plantainferry.api.Preconditions;

/**
 * Derives the time after which an answer counts as missing from the times that answers have taken.
 *
 * <p>A fixed timeout that is shorter than the answers of busy instances makes each of them ask more
 * often, and busier. The timeout is the smoothed time of the answers and four times their mean
 * deviation, as for retransmissions of TCP. Answers that come after the timeout are to be reported
 * as well. Not thread-safe.
 *
 * @since 0.6
 */
public final class AdaptiveTimeout {
    private static final double SMOOTHING = 1 / 8.0;
    private static final double DEVIATION_SMOOTHING = 1 / 4.0;
    private static final int DEVIATIONS = 4;

    private final long mMinNanos;
    private final long mMaxNanos;
    private double mSmoothedNanos;
    private double mDeviationNanos;
    private boolean mMeasured;

    /**
     * Creates a timeout that is the shortest one until the first answer.
     *
     * @param minNanos the shortest timeout, in nanoseconds
     * @param maxNanos the longest timeout, in nanoseconds
     */
    public AdaptiveTimeout(long minNanos, long maxNanos) {
        Preconditions.condition(minNanos > 0, "minNanos must be positive: " + minNanos);
        Preconditions.condition(maxNanos >= minNanos, "maxNanos must not be below minNanos");
        mMinNanos = minNanos;
        mMaxNanos = maxNanos;
    }

    /** Records the time that an answer has taken, in nanoseconds. */
    public void onAnswer(long elapsedNanos) {
        if (!mMeasured) {
            mMeasured = true;
            mSmoothedNanos = elapsedNanos;
            mDeviationNanos = elapsedNanos / 2.0;
            return;
        }
        double error = elapsedNanos - mSmoothedNanos;
        mSmoothedNanos += SMOOTHING * error;
        mDeviationNanos += DEVIATION_SMOOTHING * (Math.abs(error) - mDeviationNanos);
    }

    /** Returns the time after which an answer counts as missing, in nanoseconds. */
    public long timeoutNanos() {
        long wantedNanos = (long) (mSmoothedNanos + DEVIATIONS * mDeviationNanos);
        return Math.min(mMaxNanos, Math.max(mMinNanos, wantedNanos));
    }

    /** Returns whether answers take so long that the shortest timeout does not do. */
    public boolean isExtended() {
        return timeoutNanos() > mMinNanos;
    }
}
