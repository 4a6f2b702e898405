package org.plantainferry.engine.membership;

import org.plantainferry.api.InstanceId;
import org.plantainferry.api.Preconditions;

/**
 * Reports what one instance knows of another.
 *
 * @param instance the instance reported on
 * @param incarnation the incarnation last heard of
 * @param heardAgeMillis milliseconds since the latest sign of life; 5,000 or more is a suspicion
 * @param leaving whether it is about to stop
 * @since 0.1
 */
public record MemberUpdate(
        InstanceId instance, long incarnation, long heardAgeMillis, boolean leaving) {
    /** Checks the ranges. */
    public MemberUpdate {
        Preconditions.notNull(instance, "instance");
        Preconditions.condition(heardAgeMillis >= 0, "heardAgeMillis must not be negative");
    }
}
