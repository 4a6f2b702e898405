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
public final class AgeCodec {
    /** The age that stands for all older ones, in nanoseconds. */
    public static final long MAX_AGE_NANOS = TimeUnit.HOURS.toNanos(1);

    private AgeCodec() {}

    /** Returns an age in milliseconds, rounded up so that the fact never looks younger. */
    public static long encodeMillis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos) + 1;
    }

    /** Returns an age in nanoseconds, from 0 to {@link #MAX_AGE_NANOS}. */
    public static long decodeNanos(long millis) {
        if (millis < 0 || millis > TimeUnit.NANOSECONDS.toMillis(MAX_AGE_NANOS)) {
            return MAX_AGE_NANOS;
        }
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
