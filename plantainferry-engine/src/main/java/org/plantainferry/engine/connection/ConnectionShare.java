package org.plantainferry.engine.connection;

import org.plantainferry.api.Preconditions;

/**
 * Holds the number of connections that this instance may have to one server.
 *
 * @param connections the number, at least 1
 * @since 0.1
 */
public record ConnectionShare(int connections) {
    /** Validates the component. */
    public ConnectionShare {
        Preconditions.condition(connections >= 1, "connections must be at least 1");
    }

    /**
     * Returns the share of an instance; never below 1.
     *
     * <p>With more instances than connections, the shares together exceed the limit and the server
     * refuses some openings; backoff then distributes the openings over time.
     *
     * @param connectionLimit the number of connections that the server accepts
     * @param instances the number of instances that use the service; 0 counts as 1
     */
    public static ConnectionShare of(int connectionLimit, int instances) {
        Preconditions.condition(connectionLimit >= 1, "connectionLimit must be at least 1");
        Preconditions.condition(instances >= 0, "instances must not be negative");
        return new ConnectionShare(Math.max(1, connectionLimit / Math.max(1, instances)));
    }
}
