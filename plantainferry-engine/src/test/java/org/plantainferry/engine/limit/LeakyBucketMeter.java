package org.plantainferry.engine.limit;

/** Finds the greatest excess over rate*t + burst in any window of a history of grants. */
final class LeakyBucketMeter {
    private final double mRatePerNano;
    private final double mBurst;
    private double mLevel;
    private long mLastNanos;
    private double mHighestLevel;

    LeakyBucketMeter(double ratePerSecond, double burst) {
        mRatePerNano = ratePerSecond / 1e9;
        mBurst = burst;
    }

    void recordGrant(long nanos) {
        mLevel = Math.max(0, mLevel - (nanos - mLastNanos) * mRatePerNano) + 1;
        mLastNanos = nanos;
        mHighestLevel = Math.max(mHighestLevel, mLevel);
    }

    /** Takes a token if that keeps every window within the limit. */
    boolean tryGrant(long nanos) {
        double level = Math.max(0, mLevel - (nanos - mLastNanos) * mRatePerNano);
        if (level + 1 > mBurst) {
            return false;
        }
        recordGrant(nanos);
        return true;
    }

    double excess() {
        return mHighestLevel - mBurst;
    }
}
