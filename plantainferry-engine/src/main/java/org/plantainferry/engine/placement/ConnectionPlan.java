package org.plantainferry.engine.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.Preconditions;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.membership.RendezvousScore;

/**
 * Divides the connections that the servers of a group take among the instances.
 *
 * <p>A connection belongs to one workspace, so few connections on many servers are opened and
 * closed all the time. Each instance therefore sends its reads mainly to one replica, near it where
 * there is one, and gets a larger part of the connections there. All instances with the same view
 * compute the same plan.
 *
 * <p>Where a server takes fewer connections than instances may want one, each instance keeps an
 * idle connection only for a short time, so that the instances take turns.
 *
 * @since 0.2
 */
public final class ConnectionPlan {
    private static final double RESERVED_FRACTION = 0.04;
    private static final int MAX_CONNECTIONS = 12;
    private static final double AMPLE_CONNECTIONS_PER_INSTANCE = 2;
    private static final long AMPLE_IDLE_NANOS = TimeUnit.SECONDS.toNanos(20);
    // For each connection of the own part; see docs/CAPACITY.md for the load that this allows.
    private static final long SCARCE_IDLE_NANOS_PER_CONNECTION =
            TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final long MIN_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

    private final String mInstance;
    private final Map<String, HashedInstance> mInstances = new HashMap<>();

    /** Holds what decides about the replica of an instance. */
    private record HashedInstance(String failureDomain, long hash) {}

    /**
     * Creates the plan of an instance.
     *
     * @param domains the failure domain of each instance, this one included
     */
    public ConnectionPlan(String instance, Map<String, String> domains) {
        mInstance = Preconditions.notNull(instance, "instance");
        Preconditions.condition(domains.containsKey(instance), "domains must name the instance");
        domains.forEach(
                (name, domain) ->
                        mInstances.put(
                                name, new HashedInstance(domain, RendezvousScore.hash(name))));
    }

    /**
     * Returns how this instance uses the servers of a group.
     *
     * @param servers the servers of the group
     * @param primary the id of its primary; empty when unknown
     * @param maximum the connections that one server takes from all callers together
     */
    public GroupConnections plan(
            Collection<CatalogServer> servers, Optional<String> primary, int maximum) {
        Map<String, String> homes = preferredReplicas(servers, primary);
        Map<String, Integer> users = new HashMap<>();
        homes.values().forEach(home -> users.merge(home, 1, Integer::sum));
        Optional<String> home = Optional.ofNullable(homes.get(mInstance));
        int usable = (int) (maximum * (1 - RESERVED_FRACTION));
        Map<String, Integer> limits = new HashMap<>();
        Map<String, Long> idle = new HashMap<>();
        for (CatalogServer server : servers) {
            boolean isPrimary = primary.equals(Optional.of(server.id()));
            boolean isMain = isPrimary || home.equals(Optional.of(server.id()));
            int sharers = isPrimary ? mInstances.size() : users.getOrDefault(server.id(), 0);
            int limit = isMain ? usable / Math.max(1, sharers) : 1;
            limits.put(server.id(), Math.max(1, Math.min(MAX_CONNECTIONS, limit)));
            idle.put(server.id(), idleNanos((double) usable / mInstances.size()));
        }
        return new GroupConnections(limits, idle, home);
    }

    private static long idleNanos(double connectionsEach) {
        if (connectionsEach >= AMPLE_CONNECTIONS_PER_INSTANCE) {
            return AMPLE_IDLE_NANOS;
        }
        return Math.max(
                MIN_IDLE_NANOS, (long) (connectionsEach * SCARCE_IDLE_NANOS_PER_CONNECTION));
    }

    /** Returns the replica of each instance; an instance is missing when there is none. */
    private Map<String, String> preferredReplicas(
            Collection<CatalogServer> servers, Optional<String> primary) {
        List<HashedReplica> replicas =
                servers.stream()
                        .filter(server -> !server.draining())
                        .filter(server -> !primary.equals(Optional.of(server.id())))
                        .map(server -> new HashedReplica(server, RendezvousScore.hash(server.id())))
                        .toList();
        Map<String, String> homes = new HashMap<>();
        mInstances.forEach(
                (name, instance) -> {
                    HashedReplica best = null;
                    for (HashedReplica replica : replicas) {
                        best =
                                best == null || replica.isPreferredTo(best, instance)
                                        ? replica
                                        : best;
                    }
                    if (best != null) {
                        homes.put(name, best.server().id());
                    }
                });
        return homes;
    }

    /** Holds a replica with the hash of its id. */
    private record HashedReplica(CatalogServer server, long hash) {
        boolean isPreferredTo(HashedReplica other, HashedInstance instance) {
            boolean isNear = server.failureDomain().equals(instance.failureDomain());
            boolean isOtherNear = other.server.failureDomain().equals(instance.failureDomain());
            if (isNear != isOtherNear) {
                return isNear;
            }
            return RendezvousScore.score(instance.hash(), hash)
                    > RendezvousScore.score(instance.hash(), other.hash);
        }
    }
}
