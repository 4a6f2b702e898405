package org.plantainferry.engine.capacity;

import java.util.Map;

/**
 * Describes what a server is believed to take.
 *
 * @param limit how many statements of this instance may be in progress
 * @param inFlight the number of statements in progress
 * @param slowness the time that the server takes for its work, relative to an average server of its
 *     group; above 1 for a slower one
 * @param queueing the time until recent answers, relative to the time that the server takes for
 *     their work alone; 1 without waiting
 * @param serviceNanos the time that the server takes for each kind of work, in nanoseconds
 * @since 0.4
 */
public record ServerCapacity(
        int limit,
        int inFlight,
        double slowness,
        double queueing,
        Map<WorkKind, Long> serviceNanos) {
    /** Copies the map. */
    public ServerCapacity {
        serviceNanos = Map.copyOf(serviceNanos);
    }
}
