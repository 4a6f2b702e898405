package org.plantainferry.engine.placement;

import java.util.Map;
import java.util.Optional;

/**
 * Says how one instance uses the servers of one group.
 *
 * @param limits how many connections the instance may open to each server, by its id; at least 1
 * @param idleNanos for how long the instance keeps an idle connection to each server, by its id, in
 *     nanoseconds
 * @param preferredReplica the id of the replica to which the instance sends its reads; empty when
 *     there is none
 * @since 0.2
 */
public record GroupConnections(
        Map<String, Integer> limits,
        Map<String, Long> idleNanos,
        Optional<String> preferredReplica) {
    /** Copies the maps. */
    public GroupConnections {
        limits = Map.copyOf(limits);
        idleNanos = Map.copyOf(idleNanos);
    }
}
