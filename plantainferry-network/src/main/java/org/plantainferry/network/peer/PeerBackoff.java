package org.plantainferry.network.peer;

import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Delays connection attempts after failures, exponentially and with jitter. */
final class PeerBackoff {
    private static final long INITIAL_DELAY_MILLIS = 50;
    // A restarted peer must be reached before the failure detector suspects it after 5 s.
    private static final long MAX_DELAY_MILLIS = 2_000;
    private static final int MAX_DOUBLINGS = 10;

    private int mFailures;
    private long mFailedAtNanos;
    private long mDelayNanos;

    void recordFailure(long nowNanos) {
        long limitMillis =
                Math.min(
                        MAX_DELAY_MILLIS,
                        INITIAL_DELAY_MILLIS << Math.min(mFailures, MAX_DOUBLINGS));
        mFailures++;
        mFailedAtNanos = nowNanos;
        long halfNanos = TimeUnit.MILLISECONDS.toNanos(limitMillis) / 2;
        mDelayNanos = halfNanos + ThreadLocalRandom.current().nextLong(halfNanos);
    }

    void recordSuccess() {
        mFailures = 0;
    }

    boolean isWaiting(long nowNanos) {
        return mFailures > 0 && nowNanos - mFailedAtNanos < mDelayNanos;
    }
}
