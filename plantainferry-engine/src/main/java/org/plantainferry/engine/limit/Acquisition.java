package org.plantainferry.engine.limit;

/**
 * Describes whether a request may run now.
 *
 * @since 0.1
 */
public sealed interface Acquisition {
    /**
     * The request may run; a token has been taken.
     *
     * @since 0.1
     */
    record Granted() implements Acquisition {}

    /**
     * A token is due soon or has been requested. The caller retries after the next answer and after
     * the wait. It may be told to wait again, but gives up 100 ms after its first attempt.
     *
     * @param nanos the time after which the caller retries at the latest
     * @since 0.1
     */
    record Wait(long nanos) implements Acquisition {}

    /**
     * The request is refused.
     *
     * @param retryAfterMillis milliseconds until a token is due, at least 1
     * @since 0.1
     */
    record Refused(long retryAfterMillis) implements Acquisition {}
}
