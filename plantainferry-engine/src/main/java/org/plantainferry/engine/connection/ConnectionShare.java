package org.plantainferry.engine.connection;

import org.plantainferry.api.Preconditions;

/**
 * States how many connections to one server this instance may have.
 *
 * @param connections the number, at least 1
 * @since 0.1
 */
public record ConnectionShare(int connections) {
    /** Checks the range. */
    public ConnectionShare {
        Preconditions.condition(connections >= 1, "connections must be at least 1");
    }

    /**
     * Returns the share of an instance; never below 1.
     *
     * <p>With more instances than connections the shares exceed the limit, and the server refuses
     * some openings; backoff then spreads them.
     *
     * @param connectionLimit connections that the server accepts
     * @param instances instances that use the service; 0 counts as 1
     */
    public static ConnectionShare of(int connectionLimit, int instances) {
        Preconditions.condition(connectionLimit >= 1, "connectionLimit must be at least 1");
        Preconditions.condition(instances >= 0, "instances must not be negative");
        return new ConnectionShare(Math.max(1, connectionLimit / Math.max(1, instances)));
    }
}
