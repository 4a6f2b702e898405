package org.plantainferry.engine.catalog;

import org.plantainferry.api.Preconditions;

/**
 * Maps a database name to the group that serves it.
 *
 * @param database the name that callers use
 * @param service the service whose group serves the database
 * @param guarantee the commits that reads must see
 * @param maximumAgeMillis the maximum age of the data of a read; 0 when the guarantee needs none
 * @param statementTimeoutMillis the maximum duration of one statement
 * @param latencyObjectiveMillis the latency objective of a whole operation
 * @param priority the priority; 0 is the highest
 * @param open whether callers need no key
 * @since 0.2
 */
public record DatabaseRoute(
        String database,
        String service,
        ReadGuarantee guarantee,
        long maximumAgeMillis,
        long statementTimeoutMillis,
        long latencyObjectiveMillis,
        int priority,
        boolean open) {
    /** Checks that nothing is missing. */
    public DatabaseRoute {
        Preconditions.notNull(database, "database");
        Preconditions.notNull(service, "service");
        Preconditions.notNull(guarantee, "guarantee");
        Preconditions.condition(
                statementTimeoutMillis > 0, "statementTimeoutMillis must be positive");
    }
}
