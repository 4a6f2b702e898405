package org.plantainferry.engine.freshness;

import java.util.concurrent.TimeUnit;

/**
 * Encodes and decodes ages in messages between instances.
 *
 * <p>A malformed age must never make information look newer than it is, or even from the future.
 * Implausible numbers therefore decode to the maximum age.
 *
 * @since 0.3
 */
public final class AgeCodec {
    /** Maximum age, which also stands for all higher ages, in nanoseconds. */
    public static final long MAX_AGE_NANOS = TimeUnit.HOURS.toNanos(1);

    private AgeCodec() {}

    /** Returns an age in milliseconds, rounded up so that information never looks newer. */
    public static long encodeMillis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos) + 1;
    }

    /**
     * Returns an age in nanoseconds, from 0 to {@link #MAX_AGE_NANOS}.
     *
     * <p>Negative and higher ages return the maximum.
     */
    public static long decodeNanos(long millis) {
        if (millis < 0 || millis > TimeUnit.NANOSECONDS.toMillis(MAX_AGE_NANOS)) {
            return MAX_AGE_NANOS;
        }
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
