package org.plantainferry.engine.retry;

import org.apache.commons.rng.UniformRandomProvider;
import org.plantainferry.api.Preconditions;

/**
 * Decides whether and when a failed request is retried.
 *
 * <p>Only requests that did not run, reads, and writes with an idempotency key are retried. The
 * delay is exponential with full jitter. The first retry after a routing failure is immediate and
 * not charged to the budget: the server that refused is healthy, so the retry adds no load to a
 * failing server.
 *
 * @since 0.1
 */
public final class RetryPolicy {
    /** The maximum number of attempts of one request, including the first. */
    public static final int MAXIMUM_ATTEMPTS = 3;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long INITIAL_BACKOFF_NANOS = 20 * NANOS_PER_MILLI;
    private static final long MAXIMUM_BACKOFF_NANOS = 500 * NANOS_PER_MILLI;

    /** An attempt with less time than this would usually end with an unknown outcome. */
    private static final long MINIMUM_ATTEMPT_NANOS = 10 * NANOS_PER_MILLI;

    private final RetryBudget mBudget;
    private final UniformRandomProvider mRandom;

    /** Creates a policy with the retry budget of a service. */
    public RetryPolicy(RetryBudget budget, UniformRandomProvider random) {
        mBudget = Preconditions.notNull(budget, "budget");
        mRandom = Preconditions.notNull(random, "random");
    }

    /** Decides what happens after a failed attempt, and charges a delayed retry to the budget. */
    public RetryDecision decide(FailedAttempt attempt, long nowNanos) {
        Preconditions.notNull(attempt, "attempt");
        if (!attempt.isSafeToRetry()) {
            return new RetryDecision.GiveUp(RetryDecision.Reason.NOT_SAFE);
        }
        if (!attempt.cause().isRetryable()) {
            return new RetryDecision.GiveUp(RetryDecision.Reason.NOT_USEFUL);
        }
        if (attempt.attempts() >= MAXIMUM_ATTEMPTS) {
            return new RetryDecision.GiveUp(RetryDecision.Reason.ATTEMPTS_USED);
        }
        boolean immediate = attempt.cause().isRoutingFailure() && attempt.attempts() == 1;
        long remainingNanos = attempt.deadlineNanos() - nowNanos - MINIMUM_ATTEMPT_NANOS;
        if (remainingNanos < 0) {
            return new RetryDecision.GiveUp(RetryDecision.Reason.DEADLINE);
        }
        if (immediate) {
            return new RetryDecision.Retry(0);
        }
        // Shortens the delay to the remaining time instead of giving up.
        long maximumDelayNanos = Math.min(remainingNanos, backoffLimitNanos(attempt.attempts()));
        if (!mBudget.tryAcquire(nowNanos)) {
            return new RetryDecision.GiveUp(RetryDecision.Reason.BUDGET_USED);
        }
        return new RetryDecision.Retry(mRandom.nextLong(maximumDelayNanos + 1));
    }

    /** Returns the maximum delay after the given number of attempts, in nanoseconds. */
    static long backoffLimitNanos(int attempts) {
        int shift = Math.min(16, attempts - 1);
        return Math.min(MAXIMUM_BACKOFF_NANOS, INITIAL_BACKOFF_NANOS << shift);
    }
}
