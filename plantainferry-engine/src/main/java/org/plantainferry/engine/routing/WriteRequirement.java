package org.plantainferry.engine.routing;

import org.plantainferry.api.Preconditions;

/**
 * Describes the requirements of a write.
 *
 * @param minimumTerm the term of the session token; 0 for none
 * @param deadlineNanos the monotonic time at which the caller stops waiting
 * @param waitedNanos the nanoseconds that the write has already waited for a primary
 * @since 0.1
 */
public record WriteRequirement(long minimumTerm, long deadlineNanos, long waitedNanos) {
    /** Validates the components. */
    public WriteRequirement {
        Preconditions.condition(minimumTerm >= 0, "minimumTerm must not be negative");
        Preconditions.condition(waitedNanos >= 0, "waitedNanos must not be negative");
    }

    /** Returns this requirement with the given total wait in nanoseconds. */
    public WriteRequirement waited(long totalNanos) {
        return new WriteRequirement(minimumTerm, deadlineNanos, totalNanos);
    }
}
