package org.plantainferry.engine.scheduling;

import java.util.Comparator;
import org.plantainferry.api.Preconditions;

/**
 * Describes how urgent a statement is, for the order in which waiting statements are served.
 *
 * @param workspace the workspace for which the statement runs
 * @param priority the priority of its route; 0 is the most urgent
 * @param startedNanos when its operation arrived
 * @param objectiveNanos until when its operation is served within its latency objective
 * @param deadlineNanos the time after which the statement is of no use
 * @since 0.4
 */
public record Urgency(
        String workspace,
        int priority,
        long startedNanos,
        long objectiveNanos,
        long deadlineNanos) {
    /** Checks that nothing is missing. */
    public Urgency {
        Preconditions.notNull(workspace, "workspace");
        Preconditions.condition(priority >= 0, "priority must not be negative: " + priority);
    }

    /** Returns the urgency of a statement of the instance itself, on which callers wait. */
    public static Urgency ofInstance(String workspace, long nowNanos, long deadlineNanos) {
        return new Urgency(workspace, 0, nowNanos, deadlineNanos, deadlineNanos);
    }

    /** Returns whether the latency objective can no longer be met. */
    public boolean isLate(long nowNanos) {
        return objectiveNanos - nowNanos < 0;
    }

    /**
     * Returns an order in which what can still be in time is first, by priority and then by what is
     * left of the objective.
     */
    public static Comparator<Urgency> mostUrgentFirst(long nowNanos) {
        return Comparator.<Urgency, Boolean>comparing(urgency -> urgency.isLate(nowNanos))
                .thenComparingInt(Urgency::priority)
                .thenComparingLong(urgency -> urgency.objectiveNanos() - nowNanos);
    }
}
