package org.plantainferry.engine.routing;

import org.plantainferry.api.ServerId;

/**
 * Reports how many requests this instance has in flight at each server.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface ServerLoad {
    /** Returns the number of requests that were sent to the server and are not answered yet. */
    int inFlight(ServerId server);

    /** Returns whether the concurrency limit of the server allows one more request now. */
    default boolean hasRoom(ServerId server) {
        return true;
    }
}
