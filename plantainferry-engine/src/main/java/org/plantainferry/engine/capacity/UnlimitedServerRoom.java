package org.plantainferry.engine.capacity;

import java.util.concurrent.TimeUnit;

/**
 * Permits any number of statements, where a configuration calls for no limits.
 *
 * @since 0.4
 */
public final class UnlimitedServerRoom implements ServerRoom {
    private static final long ASSUMED_SERVICE_NANOS = TimeUnit.MILLISECONDS.toNanos(15);

    private int mInFlight;

    @Override
    public int limit(long nowNanos) {
        return Integer.MAX_VALUE;
    }

    @Override
    public int inFlight() {
        return mInFlight;
    }

    @Override
    public void onSent(WorkKind kind, long nowNanos) {
        mInFlight++;
    }

    @Override
    public void onEnded(WorkKind kind, Outcome outcome, long elapsedNanos, long nowNanos) {
        mInFlight = Math.max(0, mInFlight - 1);
    }

    @Override
    public long serviceNanos(WorkKind kind) {
        return ASSUMED_SERVICE_NANOS;
    }
}
