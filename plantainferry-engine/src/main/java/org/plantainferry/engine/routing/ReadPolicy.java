package org.plantainferry.engine.routing;

import java.util.Set;
import org.plantainferry.api.ServerId;

/**
 * Selects the server for a read.
 *
 * @since 0.1
 */
public interface ReadPolicy {
    /**
     * Returns the routing decision for a read.
     *
     * @param requirement the requirements of the read
     * @param view the state of the group; a claimed attempt is recorded in it
     * @param load the requests in flight
     * @param excluded the servers that this read has already tried
     * @param nowNanos the current monotonic time
     */
    RoutingDecision choose(
            ReadRequirement requirement,
            GroupRoutingState view,
            ServerLoad load,
            Set<ServerId> excluded,
            long nowNanos);
}
