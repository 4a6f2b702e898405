package org.plantainferry.engine.retry;

import org.apache.commons.rng.UniformRandomProvider;
import org.plantainferry.api.Preconditions;

/**
 * Decides whether and when a failed request is repeated.
 *
 * <p>Only requests that did not run, reads, and writes with an idempotency key are repeated. The
 * delay is exponential with full jitter. A first change to another server is immediate and not
 * charged to the budget: the refusing server is healthy, so it adds no load to a failing one.
 *
 * @since 0.1
 */
public final class RetryPolicy {
    /** Attempts of one request, the first included. */
    public static final int MAXIMUM_ATTEMPTS = 3;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long INITIAL_BACKOFF_NANOS = 20 * NANOS_PER_MILLI;
    private static final long MAXIMUM_BACKOFF_NANOS = 500 * NANOS_PER_MILLI;

    /** An attempt with less time than this would mostly end as an unknown outcome. */
    private static final long MINIMUM_ATTEMPT_NANOS = 10 * NANOS_PER_MILLI;

    private final RetryBudget mBudget;
    private final UniformRandomProvider mRandom;

    /** Creates a policy for a service with its budget. */
    public RetryPolicy(RetryBudget budget, UniformRandomProvider random) {
        mBudget = Preconditions.notNull(budget, "budget");
        mRandom = Preconditions.notNull(random, "random");
    }

    /** Returns what happens after a failed attempt; a repeat is charged to the budget here. */
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
        long slack = attempt.deadlineNanos() - nowNanos - MINIMUM_ATTEMPT_NANOS;
        if (slack < 0) {
            return new RetryDecision.GiveUp(RetryDecision.Reason.DEADLINE);
        }
        if (immediate) {
            return new RetryDecision.Retry(0);
        }
        // The delay is cut to the time that is left rather than the repeat given up.
        long limit = Math.min(slack, backoffLimitNanos(attempt.attempts()));
        if (!mBudget.tryAcquire(nowNanos)) {
            return new RetryDecision.GiveUp(RetryDecision.Reason.BUDGET_USED);
        }
        return new RetryDecision.Retry(mRandom.nextLong(limit + 1));
    }

    /** Returns the longest delay after this many attempts, in nanoseconds. */
    static long backoffLimitNanos(int attempts) {
        int shift = Math.min(16, attempts - 1);
        return Math.min(MAXIMUM_BACKOFF_NANOS, INITIAL_BACKOFF_NANOS << shift);
    }
}
