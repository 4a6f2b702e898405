package org.plantainferry.engine.routing;

import org.plantainferry.api.ServerId;

/**
 * Tells how much work this instance has sent to each server.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface ServerLoad {
    /** Returns the number of requests sent to the server and not answered yet. */
    int inFlight(ServerId server);

    /** Returns whether the server takes one more request now, by its concurrency limit. */
    default boolean hasRoom(ServerId server) {
        return true;
    }
}
