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
 * Divides the connections that the servers of a group accept among the instances.
 *
 * <p>A connection belongs to one workspace, so an instance with few connections to each of many
 * servers would constantly open and close them. Each instance therefore sends its reads mainly to
 * one replica, in its own failure domain if possible, and gets a larger share of the connections
 * there. All instances with the same view compute the same plan.
 *
 * <p>If a server accepts fewer connections than there are instances that may need one, each
 * instance keeps an idle connection only for a short time, so that the instances take turns.
 *
 * @since 0.2
 */
public final class ConnectionPlan {
    private static final double RESERVED_FRACTION = 0.04;
    private static final int MAX_CONNECTIONS = 12;
    private static final double AMPLE_CONNECTIONS_PER_INSTANCE = 2;
    private static final long AMPLE_IDLE_NANOS = TimeUnit.SECONDS.toNanos(20);
    // Multiplied by the share of an instance; see docs/CAPACITY.md for the load that this allows.
    private static final long SCARCE_IDLE_NANOS_PER_CONNECTION =
            TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final long MIN_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

    private final String mInstance;
    private final Map<String, HashedInstance> mInstances = new HashMap<>();

    /**
     * Holds the failure domain of an instance and the hash of its name, which determine its
     * preferred replica.
     */
    private record HashedInstance(String failureDomain, long hash) {}

    /**
     * Creates the plan of an instance.
     *
     * @param domains the failure domain of each instance, including this one
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
     * Returns the connection limits and the preferred replica of this instance for a group.
     *
     * @param servers the servers of the group
     * @param primary the id of the primary of the group; empty when unknown
     * @param connectionLimit the connections that one server accepts from all callers together
     */
    public GroupConnections plan(
            Collection<CatalogServer> servers, Optional<String> primary, int connectionLimit) {
        Map<String, String> replicaByInstance = preferredReplicas(servers, primary);
        Map<String, Integer> instancesByReplica = new HashMap<>();
        replicaByInstance
                .values()
                .forEach(replica -> instancesByReplica.merge(replica, 1, Integer::sum));
        Optional<String> preferredReplica = Optional.ofNullable(replicaByInstance.get(mInstance));
        int usable = (int) (connectionLimit * (1 - RESERVED_FRACTION));
        Map<String, Integer> limits = new HashMap<>();
        Map<String, Long> idle = new HashMap<>();
        for (CatalogServer server : servers) {
            boolean isPrimary = primary.equals(Optional.of(server.id()));
            boolean isMainServer = isPrimary || preferredReplica.equals(Optional.of(server.id()));
            int sharingInstances =
                    isPrimary ? mInstances.size() : instancesByReplica.getOrDefault(server.id(), 0);
            int limit = isMainServer ? usable / Math.max(1, sharingInstances) : 1;
            limits.put(server.id(), Math.max(1, Math.min(MAX_CONNECTIONS, limit)));
            idle.put(server.id(), idleNanos((double) usable / mInstances.size()));
        }
        return new GroupConnections(limits, idle, preferredReplica);
    }

    private static long idleNanos(double connectionsPerInstance) {
        if (connectionsPerInstance >= AMPLE_CONNECTIONS_PER_INSTANCE) {
            return AMPLE_IDLE_NANOS;
        }
        return Math.max(
                MIN_IDLE_NANOS, (long) (connectionsPerInstance * SCARCE_IDLE_NANOS_PER_CONNECTION));
    }

    /**
     * Returns the preferred replica of each instance; empty when the group has no usable replica.
     */
    private Map<String, String> preferredReplicas(
            Collection<CatalogServer> servers, Optional<String> primary) {
        List<HashedReplica> replicas =
                servers.stream()
                        .filter(server -> !server.draining())
                        .filter(server -> !primary.equals(Optional.of(server.id())))
                        .map(server -> new HashedReplica(server, RendezvousScore.hash(server.id())))
                        .toList();
        Map<String, String> replicaByInstance = new HashMap<>();
        mInstances.forEach(
                (name, instance) -> {
                    HashedReplica preferred = null;
                    for (HashedReplica replica : replicas) {
                        preferred =
                                preferred == null || replica.isPreferredTo(preferred, instance)
                                        ? replica
                                        : preferred;
                    }
                    if (preferred != null) {
                        replicaByInstance.put(name, preferred.server().id());
                    }
                });
        return replicaByInstance;
    }

    /** Holds a replica and the hash of its id. */
    private record HashedReplica(CatalogServer server, long hash) {
        boolean isPreferredTo(HashedReplica other, HashedInstance instance) {
            boolean isInSameDomain = server.failureDomain().equals(instance.failureDomain());
            boolean isOtherInSameDomain =
                    other.server.failureDomain().equals(instance.failureDomain());
            if (isInSameDomain != isOtherInSameDomain) {
                return isInSameDomain;
            }
            return RendezvousScore.score(instance.hash(), hash)
                    > RendezvousScore.score(instance.hash(), other.hash);
        }
    }
}
