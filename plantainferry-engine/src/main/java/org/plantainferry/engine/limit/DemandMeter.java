package org.plantainferry.engine.limit;

import java.util.concurrent.TimeUnit;

/** Smooths the number of offered requests exponentially; not thread-safe. */
final class DemandMeter {
    // Short, so that an instance from which the traffic has moved away stops asking soon.
    private static final double TIME_CONSTANT = TimeUnit.MILLISECONDS.toNanos(200);

    // Below this the workspace counts as idle; one request decays to it in about 1 s.
    private static final double NEGLIGIBLE = 0.02;

    private double mPerSecond;
    private long mUpdated;

    DemandMeter(long nowNanos) {
        mUpdated = nowNanos;
    }

    void count(long nowNanos) {
        decay(nowNanos);
        mPerSecond += ShareTiming.NANOS_PER_SECOND / TIME_CONSTANT;
    }

    double perSecond(long nowNanos) {
        decay(nowNanos);
        return mPerSecond < NEGLIGIBLE ? 0 : mPerSecond;
    }

    private void decay(long nowNanos) {
        long elapsed = nowNanos - mUpdated;
        if (elapsed > 0) {
            mPerSecond *= Math.exp(-elapsed / TIME_CONSTANT);
            mUpdated = nowNanos;
        }
    }
}
