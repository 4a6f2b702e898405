package org.plantainferry.engine.membership;

import org.plantainferry.api.InstanceId;
import org.plantainferry.api.Preconditions;

/**
 * Reports what one instance knows about another.
 *
 * @param instance the instance that the update is about
 * @param incarnation the latest known incarnation of the instance
 * @param heardAgeMillis milliseconds since the latest contact with the instance; a value of 5,000
 *     or more reports a suspicion based on failure evidence whose age is the value minus 5,000
 * @param leaving whether the instance is shutting down
 * @since 0.1
 */
public record MemberUpdate(
        InstanceId instance, long incarnation, long heardAgeMillis, boolean leaving) {
    /** Validates the components. */
    public MemberUpdate {
        Preconditions.notNull(instance, "instance");
        Preconditions.condition(heardAgeMillis >= 0, "heardAgeMillis must not be negative");
    }
}
