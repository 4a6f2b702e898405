package org.plantainferry.engine.connection;

import java.util.concurrent.TimeUnit;

/**
 * Decides when to open the next connection to a server that had no place for the last one.
 *
 * <p>Opening again at once only takes the place of another instance, and each opening occupies the
 * server. Times are monotonic nanoseconds. Used by one thread.
 *
 * @since 0.3
 */
public final class ConnectionBackoff {
    private static final long INITIAL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final int MAX_DOUBLINGS = 5;

    private int mRefusals;
    private long mBackoffUntilNanos;

    /**
     * Notes that the server had no place.
     *
     * @param spread a number from 0 to 1 that differs between instances, so that they do not come
     *     back together
     */
    public void onRefused(long nowNanos, double spread) {
        long pause = INITIAL_BACKOFF_NANOS << Math.min(MAX_DOUBLINGS, mRefusals);
        mRefusals++;
        mBackoffUntilNanos = nowNanos + (long) (pause * (0.5 + spread));
    }

    /** Notes that the server took a connection. */
    public void onOpened() {
        mRefusals = 0;
        mBackoffUntilNanos = 0;
    }

    /** Returns the nanoseconds until the next connection may be opened; 0 when it may be now. */
    public long remainingNanos(long nowNanos) {
        return mRefusals == 0 ? 0 : Math.max(0, mBackoffUntilNanos - nowNanos);
    }
}
