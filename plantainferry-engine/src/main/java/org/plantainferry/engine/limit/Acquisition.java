package org.plantainferry.engine.limit;

/**
 * Tells whether a request may run now.
 *
 * @since 0.1
 */
public sealed interface Acquisition {
    /**
     * Lets the request run; a token has been spent.
     *
     * @since 0.1
     */
    record Granted() implements Acquisition {}

    /**
     * Says that a token is due soon or is being asked for; the caller tries again after the next
     * answer and after the wait. It may be told to wait again, but gives up 100 ms after its first
     * try.
     *
     * @param nanos the longest wait
     * @since 0.1
     */
    record Wait(long nanos) implements Acquisition {}

    /**
     * Refuses the request.
     *
     * @param retryAfterMillis the time until a token is due, at least 1
     * @since 0.1
     */
    record Refused(long retryAfterMillis) implements Acquisition {}
}
