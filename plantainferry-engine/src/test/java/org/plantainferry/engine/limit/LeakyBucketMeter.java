package org.plantainferry.engine.limit;

/** Finds the greatest excess over rate*t + burst in any window of a history of grants. */
final class LeakyBucketMeter {
    private final double mRatePerNano;
    private final double mBurst;
    private double mLevel;
    private long mLast;
    private double mHighest;

    LeakyBucketMeter(double ratePerSecond, double burst) {
        mRatePerNano = ratePerSecond / 1e9;
        mBurst = burst;
    }

    void granted(long nanos) {
        mLevel = Math.max(0, mLevel - (nanos - mLast) * mRatePerNano) + 1;
        mLast = nanos;
        mHighest = Math.max(mHighest, mLevel);
    }

    /** Takes a token if that keeps every window within the limit. */
    boolean offer(long nanos) {
        double level = Math.max(0, mLevel - (nanos - mLast) * mRatePerNano);
        if (level + 1 > mBurst) {
            return false;
        }
        granted(nanos);
        return true;
    }

    double excess() {
        return mHighest - mBurst;
    }
}
