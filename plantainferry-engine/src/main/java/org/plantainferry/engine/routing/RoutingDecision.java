package org.plantainferry.engine.routing;

import org.plantainferry.api.Preconditions;
import org.plantainferry.api.ServerId;

/**
 * States what happens to a request next.
 *
 * @since 0.1
 */
public sealed interface RoutingDecision {
    /**
     * Sends the request to a server.
     *
     * @param server the server
     * @param minimumPosition the position that the server itself has to check; 0 for none
     * @param reason why this server was chosen
     */
    record UseServer(ServerId server, long minimumPosition, RouteReason reason)
            implements RoutingDecision {
        /** Checks that nothing is missing. */
        public UseServer {
            Preconditions.notNull(server, "server");
            Preconditions.notNull(reason, "reason");
        }
    }

    /**
     * Asks again after a delay, since a replica is about to reach the position.
     *
     * @param delayNanos nanoseconds until the next question
     */
    record WaitForReplica(long delayNanos) implements RoutingDecision {}

    /**
     * Asks again after a delay, or as soon as a primary is learned.
     *
     * @param delayNanos nanoseconds until the next question
     */
    record WaitForPrimary(long delayNanos) implements RoutingDecision {}

    /**
     * Refuses the request as "not run".
     *
     * @param retryAfterMillis milliseconds after which a server is expected to be available
     */
    record Unavailable(long retryAfterMillis) implements RoutingDecision {}
}
