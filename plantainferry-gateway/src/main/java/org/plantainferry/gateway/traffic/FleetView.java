package org.plantainferry.gateway.traffic;

import java.util.Map;
import java.util.Set;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.catalog.RoutingConfiguration;
import org.plantainferry.engine.catalog.ServerCatalog;

/**
 * Holds an immutable snapshot of what the control plane publishes to the traffic thread.
 *
 * @param configuration the configuration in force
 * @param catalog the known servers
 * @param confirmedNanos the time as of which the store last confirmed the configuration
 * @param otherInstanceDomains the failure domain of each other instance, by instance
 * @param evacuatedDomains the failure domains to whose servers nothing more may be sent
 * @since 0.2
 */
public record FleetView(
        RoutingConfiguration configuration,
        ServerCatalog catalog,
        long confirmedNanos,
        Map<String, String> otherInstanceDomains,
        Set<String> evacuatedDomains) {
    /** Creates a snapshot with copies of the collections. */
    public FleetView {
        evacuatedDomains = Set.copyOf(evacuatedDomains);
        otherInstanceDomains = Map.copyOf(otherInstanceDomains);
    }

    /** Returns whether the failure domain of a server is evacuated. */
    public boolean isEvacuated(CatalogServer server) {
        return evacuatedDomains.contains(server.failureDomain());
    }

    /** Returns whether a server may be made the primary of its group. */
    public boolean mayLead(CatalogServer server) {
        return !server.draining() && !isEvacuated(server);
    }

    /** Returns the instances other than this one. */
    public Set<String> otherInstances() {
        return otherInstanceDomains.keySet();
    }
}
