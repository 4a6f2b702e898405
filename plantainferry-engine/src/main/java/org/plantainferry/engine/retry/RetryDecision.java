package org.plantainferry.engine.retry;

import org.plantainferry.api.Preconditions;

/**
 * States what happens after a failed attempt.
 *
 * @since 0.1
 */
public sealed interface RetryDecision {
    /**
     * Repeats the request after a delay.
     *
     * @param delayNanos nanoseconds to wait before; 0 for none
     */
    record Retry(long delayNanos) implements RetryDecision {}

    /**
     * Answers the caller with the failure at once.
     *
     * @param reason why the request is not repeated
     */
    record GiveUp(Reason reason) implements RetryDecision {
        /** Checks that the reason is present. */
        public GiveUp {
            Preconditions.notNull(reason, "reason");
        }
    }

    /** Lists why a request is not repeated. */
    enum Reason {
        /** A repeat could make the request run twice, or the result is known. */
        NOT_SAFE,
        /** Another attempt would have the same result. */
        NOT_USEFUL,
        /** The request has had all its attempts. */
        ATTEMPTS_USED,
        /** Too little time is left. */
        DEADLINE,
        /** The service has spent its retry budget. */
        BUDGET_USED
    }
}
