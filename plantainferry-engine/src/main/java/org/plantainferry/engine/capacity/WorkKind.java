package org.plantainferry.engine.capacity;

import org.plantainferry.api.Preconditions;

/**
 * Groups statements that take a server similarly long, so that their durations can be compared.
 *
 * @param database the database name of the route on which the statements arrive
 * @param step what the statements do
 * @since 0.4
 */
public record WorkKind(String database, Step step) {
    /** Describes what a statement does on a server. */
    public enum Step {
        /** Reads data. */
        READ,
        /** Changes data. */
        WRITE,
        /** Ends a transaction. */
        COMMIT
    }

    /** Checks that nothing is missing. */
    public WorkKind {
        Preconditions.notNull(database, "database");
        Preconditions.notNull(step, "step");
    }

    // Written out, because a generated method is linked at run time in each process.
    @Override
    public boolean equals(Object other) {
        return other instanceof WorkKind that
                && step == that.step
                && database.equals(that.database);
    }

    @Override
    public int hashCode() {
        int hash = database.hashCode();
        hash = 31 * hash + step.hashCode();
        return hash;
    }
}
