package org.plantainferry.engine.routing;

import java.util.Set;
import org.plantainferry.api.ServerId;

/**
 * Chooses the server for a read.
 *
 * @since 0.1
 */
public interface ReadPolicy {
    /**
     * Returns what to do with a read now.
     *
     * @param requirement what the read demands
     * @param view what is known about the group; a chosen probe is recorded in it
     * @param load the work in flight
     * @param excluded servers that this read has tried already
     * @param nowNanos the monotonic time
     */
    RoutingDecision choose(
            ReadRequirement requirement,
            GroupRoutingState view,
            ServerLoad load,
            Set<ServerId> excluded,
            long nowNanos);
}
