package org.plantainferry.engine.catalog;

import java.util.Map;
import java.util.Optional;
import org.plantainferry.api.Preconditions;

/**
 * Holds one immutable version of the routes, groups, keys and limits.
 *
 * @param version the version, which is higher than those of all earlier configurations
 * @param routes the routes by database name
 * @param groups the groups by service name
 * @param keys the keys of callers
 * @param limits the limits by workspace
 * @param transactionIdleMillis the maximum time that a transaction waits for its next statement
 * @since 0.2
 */
public record RoutingConfiguration(
        long version,
        Map<String, DatabaseRoute> routes,
        Map<String, GroupSettings> groups,
        WorkspaceKeys keys,
        Map<String, WorkspaceLimit> limits,
        long transactionIdleMillis) {
    private static final long DEFAULT_TRANSACTION_IDLE_MILLIS = 3_000;

    /** The configuration in effect until the first one is read. */
    public static final RoutingConfiguration EMPTY =
            new RoutingConfiguration(
                    0,
                    Map.of(),
                    Map.of(),
                    new PlainKeys(Map.of()),
                    Map.of(),
                    DEFAULT_TRANSACTION_IDLE_MILLIS);

    /** Copies the maps. */
    public RoutingConfiguration {
        Preconditions.condition(
                transactionIdleMillis > 0, "transactionIdleMillis must be positive");
        Preconditions.notNull(keys, "keys");
        routes = Map.copyOf(routes);
        groups = Map.copyOf(groups);
        limits = Map.copyOf(limits);
    }

    /** Returns the route of a database; empty for an unknown database. */
    public Optional<DatabaseRoute> route(String database) {
        return Optional.ofNullable(routes.get(database));
    }

    /** Returns the workspace of a key; empty for an unknown key. */
    public Optional<String> workspaceOf(String key) {
        return keys.workspaceOf(key);
    }
}
