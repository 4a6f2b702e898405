package org.plantainferry.engine.placement;

import java.util.Map;
import java.util.Optional;

/**
 * Describes how one instance uses the servers of one group.
 *
 * @param limits the maximum number of connections of the instance to each server, by server id; at
 *     least 1
 * @param idleNanos how long the instance keeps an idle connection to each server, by server id, in
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
