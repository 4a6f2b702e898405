package org.plantainferry.engine.limit;

import java.util.concurrent.TimeUnit;

/** Measures the rate of offered requests with exponential smoothing; not thread-safe. */
final class DemandMeter {
    // Short, so that an instance soon stops requesting tokens after its traffic has moved away.
    private static final double TIME_CONSTANT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    // Below this rate, the workspace counts as idle; one request decays to it in about 1 s.
    private static final double IDLE_RATE_PER_SECOND = 0.02;

    // In random traffic, a gap of three mean intervals has a probability of 5%. A longer gap shows
    // that the traffic has decreased long before the average does.
    private static final double MAXIMUM_GAP_INTERVALS = 3;

    private double mPerSecond;
    private double mPerSecondAtCount;
    private long mUpdatedNanos;
    private long mLastCountNanos;

    DemandMeter(long nowNanos) {
        mUpdatedNanos = nowNanos;
        mLastCountNanos = nowNanos;
    }

    void count(long nowNanos) {
        decay(nowNanos);
        mPerSecond += ShareTiming.NANOS_PER_SECOND / TIME_CONSTANT_NANOS;
        mPerSecondAtCount = mPerSecond;
        mLastCountNanos = nowNanos;
    }

    double perSecond(long nowNanos) {
        decay(nowNanos);
        if (mPerSecond < IDLE_RATE_PER_SECOND) {
            return 0;
        }
        long gap = Math.max(1, nowNanos - mLastCountNanos);
        if (gap / ShareTiming.NANOS_PER_SECOND * mPerSecondAtCount
                > ShareTiming.TRAFFIC_END_GAP_INTERVALS) {
            return 0;
        }
        return Math.min(mPerSecond, MAXIMUM_GAP_INTERVALS * ShareTiming.NANOS_PER_SECOND / gap);
    }

    private void decay(long nowNanos) {
        long elapsed = nowNanos - mUpdatedNanos;
        if (elapsed > 0) {
            mPerSecond *= Math.exp(-elapsed / TIME_CONSTANT_NANOS);
            mUpdatedNanos = nowNanos;
        }
    }
}
