package org.plantainferry.gateway.traffic;

import java.util.Map;

/**
 * Holds what operators see of the load of one server, as this instance knows it.
 *
 * @param server the id of the server
 * @param limit how many statements of this instance may be in progress; {@link Integer#MAX_VALUE}
 *     for any number
 * @param inProgress the number of statements in progress
 * @param waitingByPriority the number of waiting statements by the priority of their route
 * @param refusedEarly the total of statements refused before their deadline for lack of room
 * @param displaced the total of statements that gave up their place to more urgent ones or to those
 *     of another workspace
 * @param slowness the time that the server is believed to take for its work, relative to an average
 *     server of its group; NaN if it is not known
 * @since 0.4
 */
public record ServerLoad(
        String server,
        int limit,
        int inProgress,
        Map<Integer, Integer> waitingByPriority,
        long refusedEarly,
        long displaced,
        double slowness) {
    /** Copies the map. */
    public ServerLoad {
        waitingByPriority = Map.copyOf(waitingByPriority);
    }
}
