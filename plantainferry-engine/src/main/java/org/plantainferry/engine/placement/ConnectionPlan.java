package org.plantainferry.engine.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.plantainferry.api.Preconditions;
import org.plantainferry.engine.catalog.CatalogServer;

/**
 * Divides the connections that the servers of a group take among the instances.
 *
 * <p>A connection belongs to one workspace, so few connections on many servers are opened and
 * closed all the time. Each instance therefore sends its reads mainly to one replica, near it where
 * there is one, and gets a larger part of the connections there. All instances with the same view
 * compute the same plan.
 *
 * @since 0.2
 */
public final class ConnectionPlan {
    private static final double RESERVED_PART = 0.12;
    private static final int MOST_CONNECTIONS = 12;

    private final String mInstance;
    private final Map<String, String> mDomains;

    /**
     * Creates the plan of an instance.
     *
     * @param domains the failure domain of each instance, this one included
     */
    public ConnectionPlan(String instance, Map<String, String> domains) {
        mInstance = Preconditions.notNull(instance, "instance");
        Preconditions.condition(domains.containsKey(instance), "domains must name the instance");
        mDomains = Map.copyOf(domains);
    }

    /**
     * Returns the replica to which an instance sends its reads; empty when there is none.
     *
     * @param servers the servers of one group
     * @param primary the id of its primary; empty when unknown
     */
    public Optional<CatalogServer> home(
            String instance, Collection<CatalogServer> servers, Optional<String> primary) {
        String domain = mDomains.getOrDefault(instance, "");
        List<CatalogServer> replicas =
                servers.stream()
                        .filter(server -> !server.draining())
                        .filter(server -> !primary.equals(Optional.of(server.id())))
                        .toList();
        Comparator<CatalogServer> byDomain =
                Comparator.comparing(server -> !server.failureDomain().equals(domain));
        return replicas.stream()
                .min(
                        byDomain.thenComparing(server -> place(instance, server.id()))
                                .thenComparing(CatalogServer::id));
    }

    private static int place(String instance, String server) {
        // Mixes the bits, because hash codes of similar names are close to each other.
        int hash = (instance + "/" + server).hashCode() * 0x9E3779B1;
        return hash ^ (hash >>> 15);
    }

    /**
     * Returns how many connections this instance may open to each server of a group.
     *
     * @param maximum the connections that one server takes from all callers together
     * @return the limits by server id, at least 1 each
     */
    public Map<String, Integer> limits(
            Collection<CatalogServer> servers, Optional<String> primary, int maximum) {
        Map<String, Integer> users = new HashMap<>();
        for (String instance : mDomains.keySet()) {
            home(instance, servers, primary)
                    .ifPresent(server -> users.merge(server.id(), 1, Integer::sum));
        }
        Optional<String> home = home(mInstance, servers, primary).map(CatalogServer::id);
        int usable = (int) (maximum * (1 - RESERVED_PART));
        Map<String, Integer> limits = new HashMap<>();
        for (CatalogServer server : servers) {
            boolean isPrimary = primary.equals(Optional.of(server.id()));
            int sharers = isPrimary ? mDomains.size() : users.getOrDefault(server.id(), 0);
            boolean isMain = isPrimary || home.equals(Optional.of(server.id()));
            int limit = isMain ? usable / Math.max(1, sharers) : 1;
            limits.put(server.id(), Math.max(1, Math.min(MOST_CONNECTIONS, limit)));
        }
        return limits;
    }
}
