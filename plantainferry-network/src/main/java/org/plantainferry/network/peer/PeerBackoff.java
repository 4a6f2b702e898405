package org.plantainferry.network.peer;

import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Delays the next attempt to connect after failures, longer each time and with jitter. */
final class PeerBackoff {
    private static final long INITIAL_DELAY_MILLIS = 50;
    // A peer that is back is to be reached within the 5 s after which it would be suspected.
    private static final long MAX_DELAY_MILLIS = 2_000;
    private static final int MAX_DOUBLINGS = 10;

    private int mFailures;
    private long mFailedAtNanos;
    private long mDelayNanos;

    void recordFailure(long nowNanos) {
        long bound =
                Math.min(
                        MAX_DELAY_MILLIS,
                        INITIAL_DELAY_MILLIS << Math.min(mFailures, MAX_DOUBLINGS));
        mFailures++;
        mFailedAtNanos = nowNanos;
        long half = TimeUnit.MILLISECONDS.toNanos(bound) / 2;
        mDelayNanos = half + ThreadLocalRandom.current().nextLong(half);
    }

    void recordSuccess() {
        mFailures = 0;
    }

    boolean isWaiting(long nowNanos) {
        return mFailures > 0 && nowNanos - mFailedAtNanos < mDelayNanos;
    }
}
