package org.plantainferry.engine.routing;

import org.plantainferry.api.Preconditions;
import org.plantainferry.api.ServerId;

/**
 * Describes the next step of a request.
 *
 * @since 0.1
 */
public sealed interface RoutingDecision {
    /**
     * Sends the request to a server.
     *
     * @param server the server
     * @param minimumPosition the position that the server must check before it answers; 0 for none
     * @param reason why this server was chosen
     */
    record UseServer(ServerId server, long minimumPosition, RouteReason reason)
            implements RoutingDecision {
        /** Validates the components. */
        public UseServer {
            Preconditions.notNull(server, "server");
            Preconditions.notNull(reason, "reason");
        }
    }

    /**
     * Routes the request again after a delay, because a replica is about to reach the position.
     *
     * @param delayNanos the nanoseconds until the request is routed again
     */
    record WaitForReplica(long delayNanos) implements RoutingDecision {}

    /**
     * Routes the request again after a delay, or as soon as a primary is known.
     *
     * @param delayNanos the nanoseconds until the request is routed again
     */
    record WaitForPrimary(long delayNanos) implements RoutingDecision {}

    /**
     * Refuses the request, which has not run.
     *
     * @param retryAfterMillis the milliseconds after which a server is expected to be available
     */
    record Unavailable(long retryAfterMillis) implements RoutingDecision {}
}
