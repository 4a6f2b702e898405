package org.plantainferry.engine.freshness;

import java.util.concurrent.TimeUnit;

/**
 * Writes and reads the age of a fact in messages between instances.
 *
 * <p>A malformed age must not make a fact look younger than it is, and still less like one of the
 * future, so each number that is no plausible age counts as a very old one.
 *
 * @since 0.3
 */
public final class PeerAge {
    /** The age that stands for all older ones, in nanoseconds. */
    public static final long OLDEST_NANOS = TimeUnit.HOURS.toNanos(1);

    private PeerAge() {}

    /** Returns an age in milliseconds, rounded up so that the fact never looks younger. */
    public static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos) + 1;
    }

    /** Returns an age in nanoseconds, from 0 to {@link #OLDEST_NANOS}. */
    public static long nanos(long millis) {
        if (millis < 0 || millis > TimeUnit.NANOSECONDS.toMillis(OLDEST_NANOS)) {
            return OLDEST_NANOS;
        }
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
