package org.plantainferry.engine.connection;

import java.util.concurrent.TimeUnit;

/**
 * Delays the next connection to a server that refused the last one because it was at its connection
 * limit.
 *
 * <p>An immediate retry would only displace the connection of another instance, and each opening
 * costs capacity of the server. Times are monotonic nanoseconds. Not thread-safe.
 *
 * @since 0.3
 */
public final class ConnectionBackoff {
    private static final long INITIAL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final int MAX_DOUBLINGS = 5;

    private int mRefusals;
    private long mBackoffUntilNanos;

    /**
     * Records that the server refused a connection; the delay doubles with each refusal up to a
     * limit.
     *
     * @param jitter a number from 0 to 1 that differs between instances, so that they do not retry
     *     at the same time
     */
    public void onRefused(long nowNanos, double jitter) {
        long backoff = INITIAL_BACKOFF_NANOS << Math.min(MAX_DOUBLINGS, mRefusals);
        mRefusals++;
        mBackoffUntilNanos = nowNanos + (long) (backoff * (0.5 + jitter));
    }

    /** Records that the server accepted a connection, which resets the delay. */
    public void onOpened() {
        mRefusals = 0;
        mBackoffUntilNanos = 0;
    }

    /** Returns the nanoseconds until the next connection may be opened; 0 when it may be now. */
    public long remainingNanos(long nowNanos) {
        return mRefusals == 0 ? 0 : Math.max(0, mBackoffUntilNanos - nowNanos);
    }
}
