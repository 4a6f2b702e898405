package org.plantainferry.verification.standin.store;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/** Counts the calls to the store by kind, and tracks the peak rates per second. */
final class CallCounters {
    enum Kind {
        READ,
        WRITE,
        WATCH
    }

    /**
     * Holds a snapshot of the counters.
     *
     * @param waitingWatches the watches that are currently waiting
     * @param peakCallsPerSecond the highest number of calls, of all kinds, that began in one second
     * @param peakWritesPerSecond the highest number of writes that began in one second
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
