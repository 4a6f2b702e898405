package org.plantainferry.engine.limit;

import java.util.concurrent.TimeUnit;

/** Smooths the number of offered requests exponentially; not thread-safe. */
final class DemandMeter {
    // Short, so that an instance from which the traffic has moved away stops asking soon.
    private static final double TIME_CONSTANT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    // Below this the workspace counts as idle; one request decays to it in about 1 s.
    private static final double IDLE_RATE_PER_SECOND = 0.02;

    // A gap of three mean intervals has a chance of 5% in random traffic; a longer one shows that
    // the traffic has ended, long before the average does.
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
