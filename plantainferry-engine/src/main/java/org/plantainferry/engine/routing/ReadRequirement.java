package org.plantainferry.engine.routing;

import java.util.OptionalLong;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.session.LogPosition;

/**
 * States what a read demands of the server that answers it.
 *
 * @param minimum the place in the log that the server must have reached
 * @param maximumAgeMillis the age of data in milliseconds that the caller accepts, if it states one
 * @param deadlineNanos the monotonic time at which the caller stops waiting
 * @param waitedNanos nanoseconds that the read has waited for a replica so far
 * @since 0.1
 */
public record ReadRequirement(
        LogPosition minimum, OptionalLong maximumAgeMillis, long deadlineNanos, long waitedNanos) {
    /** Checks the ranges. */
    public ReadRequirement {
        Preconditions.notNull(minimum, "minimum");
        Preconditions.notNull(maximumAgeMillis, "maximumAgeMillis");
        Preconditions.condition(
                maximumAgeMillis.orElse(0) >= 0, "maximumAgeMillis must not be negative");
        Preconditions.condition(waitedNanos >= 0, "waitedNanos must not be negative");
    }

    /** Returns the same requirement after a wait of this many nanoseconds in total. */
    public ReadRequirement waited(long totalNanos) {
        return new ReadRequirement(minimum, maximumAgeMillis, deadlineNanos, totalNanos);
    }

    /**
     * Returns whether an answer to the read satisfies it.
     *
     * <p>Routing decides by estimates, and targets do not know the maximum age, so every answer is
     * checked; one that fails is dropped and the read goes to another server.
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
