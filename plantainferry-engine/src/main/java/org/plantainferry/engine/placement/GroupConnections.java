package org.plantainferry.engine.placement;

import java.util.Map;
import java.util.Optional;

/**
 * Says how one instance uses the servers of one group.
 *
 * @param limits how many connections the instance may open to each server, by its id; at least 1
 * @param home the id of the replica to which the instance sends its reads; empty when there is none
 * @since 0.2
 */
public record GroupConnections(Map<String, Integer> limits, Optional<String> home) {
    /** Copies the map. */
    public GroupConnections {
        limits = Map.copyOf(limits);
    }
}
