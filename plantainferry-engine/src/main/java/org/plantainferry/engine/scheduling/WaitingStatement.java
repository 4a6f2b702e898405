package org.plantainferry.engine.scheduling;

import org.plantainferry.api.Preconditions;

/**
 * Describes a statement that waits for a server.
 *
 * @param statement the statement
 * @param urgency how urgent it is
 * @param serviceNanos the time that the server takes for it, in nanoseconds
 * @param sinceNanos when it began to wait
 * @param <T> the type of the statements
 * @since 0.4
 */
public record WaitingStatement<T>(
        T statement, Urgency urgency, long serviceNanos, long sinceNanos) {
    /** Checks that nothing is missing. */
    public WaitingStatement {
        Preconditions.notNull(statement, "statement");
        Preconditions.notNull(urgency, "urgency");
    }

    String workspace() {
        return urgency.workspace();
    }

    /** Returns whether the latency objective would be missed if the statement began now. */
    boolean isLate(long nowNanos) {
        return urgency.isLate(nowNanos + serviceNanos);
    }
}
