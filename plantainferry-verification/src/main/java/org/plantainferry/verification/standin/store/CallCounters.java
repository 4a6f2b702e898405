package org.plantainferry.verification.standin.store;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/** Counts the calls to the store by kind and in each second. */
final class CallCounters {
    enum Kind {
        READ,
        WRITE,
        WATCH
    }

    /**
     * Shows the counts at one moment.
     *
     * @param waitingWatches watches that wait now
     * @param peakCallsPerSecond the most calls, of all kinds, that began in one second
     * @param peakWritesPerSecond the most writes that began in one second
     */
    record Counts(
            long reads,
            long writes,
            long watches,
            long waitingWatches,
            long peakCallsPerSecond,
            long peakWritesPerSecond) {}

    private final long[] mTotals = new long[Kind.values().length];
    private long mCurrentSecond = Long.MIN_VALUE;
    private long mCallsInSecond;
    private long mWritesInSecond;
    private long mPeakCalls;
    private long mPeakWrites;

    synchronized void count(Kind kind, long nowNanos) {
        long second = TimeUnit.NANOSECONDS.toSeconds(nowNanos);
        if (second != mCurrentSecond) {
            mCurrentSecond = second;
            mCallsInSecond = 0;
            mWritesInSecond = 0;
        }
        mTotals[kind.ordinal()]++;
        mPeakCalls = Math.max(mPeakCalls, ++mCallsInSecond);
        if (kind == Kind.WRITE) {
            mPeakWrites = Math.max(mPeakWrites, ++mWritesInSecond);
        }
    }

    synchronized Counts counts(long waitingWatches) {
        return new Counts(
                mTotals[Kind.READ.ordinal()],
                mTotals[Kind.WRITE.ordinal()],
                mTotals[Kind.WATCH.ordinal()],
                waitingWatches,
                mPeakCalls,
                mPeakWrites);
    }

    synchronized void reset() {
        Arrays.fill(mTotals, 0);
        mPeakCalls = 0;
        mPeakWrites = 0;
    }
}
