package org.plantainferry.gateway.traffic;

import java.util.Set;
import org.plantainferry.engine.catalog.RoutingConfiguration;
import org.plantainferry.engine.catalog.ServerCatalog;

/**
 * Holds what control publishes to traffic; immutable.
 *
 * @param configuration the configuration in force
 * @param catalog the servers
 * @param confirmedNanos the time for which the store last confirmed the configuration
 * @param otherInstances the instances besides this one
 * @since 0.2
 */
public record FleetView(
        RoutingConfiguration configuration,
        ServerCatalog catalog,
        long confirmedNanos,
        Set<String> otherInstances) {
    /** Copies the set. */
    public FleetView {
        otherInstances = Set.copyOf(otherInstances);
    }
}
