package org.plantainferry.engine.catalog;

import org.plantainferry.api.Preconditions;

/**
 * Leads from a database name to the group that serves it.
 *
 * @param database the name that callers use
 * @param service the group
 * @param guarantee which commits reads must see
 * @param maximumAgeMillis how old the data of a read may be; 0 where the guarantee needs none
 * @param statementTimeoutMillis the longest time that one statement may take
 * @param latencyObjectiveMillis the latency objective of a whole operation
 * @param priority 0 is the highest
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
