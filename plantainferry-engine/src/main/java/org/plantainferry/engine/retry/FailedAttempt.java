package org.plantainferry.engine.retry;

import org.plantainferry.api.Preconditions;
import org.plantainferry.api.StatementKind;
import org.plantainferry.api.Verdict;

/**
 * Describes a request after an attempt that failed.
 *
 * @param cause why the attempt failed
 * @param verdict the verdict on all attempts so far together
 * @param kind whether the request may write
 * @param idempotencyKeyPresent whether the target recognises a repeat
 * @param inTransaction whether the request belongs to an open transaction
 * @param attempts the number of attempts so far; at least 1
 * @param deadlineNanos the monotonic time at which the caller stops waiting
 * @since 0.1
 */
public record FailedAttempt(
        FailureCause cause,
        Verdict verdict,
        StatementKind kind,
        boolean idempotencyKeyPresent,
        boolean inTransaction,
        int attempts,
        long deadlineNanos) {
    /** Checks the ranges. */
    public FailedAttempt {
        Preconditions.notNull(cause, "cause");
        Preconditions.notNull(verdict, "verdict");
        Preconditions.notNull(kind, "kind");
        Preconditions.condition(attempts >= 1, "attempts must be at least 1: " + attempts);
    }

    /** Returns whether a repeat cannot make the request run twice. */
    public boolean isSafeToRetry() {
        if (verdict == Verdict.RUN || inTransaction) {
            return false;
        }
        return verdict.isSafeToRetry() || kind == StatementKind.READ || idempotencyKeyPresent;
    }
}
