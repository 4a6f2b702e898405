package org.plantainferry.engine.routing;

import org.plantainferry.api.Preconditions;

/**
 * States what a write demands.
 *
 * @param minimumTerm the term of the session token; 0 for none
 * @param deadlineNanos the monotonic time at which the caller stops waiting
 * @param waitedNanos nanoseconds that the write has waited for a primary so far
 * @since 0.1
 */
public record WriteRequirement(long minimumTerm, long deadlineNanos, long waitedNanos) {
    /** Checks the ranges. */
    public WriteRequirement {
        Preconditions.condition(minimumTerm >= 0, "minimumTerm must not be negative");
        Preconditions.condition(waitedNanos >= 0, "waitedNanos must not be negative");
    }

    /** Returns the same requirement after a wait of this many nanoseconds in total. */
    public WriteRequirement waited(long totalNanos) {
        return new WriteRequirement(minimumTerm, deadlineNanos, totalNanos);
    }
}
