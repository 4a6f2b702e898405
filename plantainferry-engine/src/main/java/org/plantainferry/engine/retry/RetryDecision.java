package org.plantainferry.engine.retry;

import org.plantainferry.api.Preconditions;

/**
 * Describes what happens after a failed attempt.
 *
 * @since 0.1
 */
public sealed interface RetryDecision {
    /**
     * Retries the request after a delay.
     *
     * @param delayNanos nanoseconds to wait before the retry; 0 for none
     */
    record Retry(long delayNanos) implements RetryDecision {}

    /**
     * Answers the caller with the failure at once.
     *
     * @param reason why the request is not retried
     * @param retryAfterNanos nanoseconds after which the caller may retry; 0 if nothing is known
     */
    record GiveUp(Reason reason, long retryAfterNanos) implements RetryDecision {
        /** Checks that the reason is present. */
        public GiveUp {
            Preconditions.notNull(reason, "reason");
        }

        /** Creates a decision without a time after which the caller may retry. */
        public GiveUp(Reason reason) {
            this(reason, 0);
        }
    }

    /** Lists the reasons for which a request is not retried. */
    enum Reason {
        /** A retry could cause the request to run twice, or the result is known. */
        NOT_SAFE,
        /** Another attempt would have the same result. */
        NOT_USEFUL,
        /** The maximum number of attempts is reached. */
        ATTEMPTS_USED,
        /** Too little time is left until the deadline. */
        DEADLINE,
        /** The retry budget of the service is used up. */
        BUDGET_USED,
        /** The servers have no room for another attempt. */
        ROOM_SHORT
    }
}
