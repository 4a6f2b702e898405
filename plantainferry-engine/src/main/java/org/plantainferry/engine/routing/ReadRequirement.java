package org.plantainferry.engine.routing;

import java.util.OptionalLong;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.session.LogPosition;

/**
 * Describes what a read requires of the server that answers it.
 *
 * @param minimum the log position that the server must have reached
 * @param maximumAgeMillis the maximum age of the data in milliseconds, if the caller specifies one
 * @param deadlineNanos the monotonic time at which the caller stops waiting
 * @param waitedNanos the nanoseconds that the read has already waited for a replica
 * @since 0.1
 */
public record ReadRequirement(
        LogPosition minimum, OptionalLong maximumAgeMillis, long deadlineNanos, long waitedNanos) {
    /** Validates the components. */
    public ReadRequirement {
        Preconditions.notNull(minimum, "minimum");
        Preconditions.notNull(maximumAgeMillis, "maximumAgeMillis");
        Preconditions.condition(
                maximumAgeMillis.orElse(0) >= 0, "maximumAgeMillis must not be negative");
        Preconditions.condition(waitedNanos >= 0, "waitedNanos must not be negative");
    }

    /** Returns this requirement with the given total wait in nanoseconds. */
    public ReadRequirement waited(long totalNanos) {
        return new ReadRequirement(minimum, maximumAgeMillis, deadlineNanos, totalNanos);
    }

    /**
     * Returns whether an answer satisfies this requirement.
     *
     * <p>Routing is based on estimates, and targets do not know the maximum age, so every answer is
     * checked; an answer that fails the check is discarded and the read is sent to another server.
     *
     * @param highestTerm the highest term known for the group
     */
    public boolean isSatisfiedBy(ServerObservation answer, long highestTerm) {
        Preconditions.notNull(answer, "answer");
        return answer.term() >= Math.max(highestTerm, minimum.term())
                && answer.position() >= minimum.position()
                && answer.lagMillis() <= maximumAgeMillis.orElse(Long.MAX_VALUE);
    }
}
