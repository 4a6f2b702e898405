package org.plantainferry.gateway.traffic;

import java.util.Map;
import java.util.Set;
import org.plantainferry.engine.catalog.RoutingConfiguration;
import org.plantainferry.engine.catalog.ServerCatalog;

/**
 * Holds what control publishes to traffic; immutable.
 *
 * @param configuration the configuration in force
 * @param catalog the servers
 * @param confirmedNanos the time for which the store last confirmed the configuration
 * @param otherInstanceDomains the failure domain of each instance besides this one
 * @since 0.2
 */
public record FleetView(
        RoutingConfiguration configuration,
        ServerCatalog catalog,
        long confirmedNanos,
        Map<String, String> otherInstanceDomains) {
    /** Copies the map. */
    public FleetView {
        otherInstanceDomains = Map.copyOf(otherInstanceDomains);
    }

    /** Returns the instances besides this one. */
    public Set<String> otherInstances() {
        return otherInstanceDomains.keySet();
    }
}
