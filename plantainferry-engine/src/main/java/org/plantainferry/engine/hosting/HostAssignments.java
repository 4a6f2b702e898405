package org.plantainferry.engine.hosting;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.Preconditions;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.catalog.GroupSettings;
import org.plantainferry.engine.catalog.RoutingConfiguration;
import org.plantainferry.engine.catalog.ServerCatalog;
import org.plantainferry.engine.placement.GroupConnections;
import org.plantainferry.engine.scheduling.ContentionPolicy;

/**
 * Tells for which services the statements of this instance go to hosts, and which instances these
 * are.
 *
 * <p>Computed from the latest view; what was computed is kept until the view changes. Not
 * thread-safe.
 *
 * @since 0.4
 */
public final class HostAssignments {
    // Hosts for reads of other failure domains, and instances that reach no host, need the rest.
    private static final double PRIMARY_HOST_FRACTION = 0.5;
    private static final double ALL_READ_HOSTS_FRACTION = 0.8;
    private static final double MAX_READ_HOST_FRACTION = 0.4;
    private static final double ALL_READ_HOSTS_ELSEWHERE_FRACTION = 0.3;
    private static final double LATER_HOST_DIVISOR = 2;
    private static final long HOST_IDLE_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final String mInstance;
    private final String mDomain;
    private final HostMode mMode;
    private final Map<String, Boolean> mConcentrated = new HashMap<>();
    // The last known domains: while a primary is replaced, its work stays where it is.
    private final Map<String, String> mPrimaryDomains = new HashMap<>();
    private RoutingConfiguration mConfiguration = RoutingConfiguration.EMPTY;
    private ServerCatalog mCatalog = ServerCatalog.EMPTY;
    private HostRanking mRanking;

    /** Creates the assignments of an instance that knows no other instance. */
    public HostAssignments(String instance, String failureDomain, HostMode mode) {
        mInstance = Preconditions.notNull(instance, "instance");
        mDomain = Preconditions.notNull(failureDomain, "failureDomain");
        mMode = Preconditions.notNull(mode, "mode");
        mRanking = new HostRanking(Map.of(instance, failureDomain));
    }

    /**
     * Applies a new view.
     *
     * @param otherInstances the failure domain of each other instance
     */
    public void onView(
            RoutingConfiguration configuration,
            ServerCatalog catalog,
            Map<String, String> otherInstances) {
        Map<String, String> domains = new HashMap<>(otherInstances);
        domains.put(mInstance, mDomain);
        if (!domains.equals(mRanking.domains())) {
            mRanking = new HostRanking(domains);
        }
        mConfiguration = configuration;
        mCatalog = catalog;
        mConcentrated.clear();
    }

    /** Returns whether statements for a service go to hosts. */
    public boolean isConcentrated(String service) {
        return mMode != HostMode.NEVER
                && mConcentrated.computeIfAbsent(service, this::computeConcentrated);
    }

    private boolean computeConcentrated(String service) {
        GroupSettings group = mConfiguration.groups().get(service);
        int instances = mRanking.domains().size();
        if (group == null || instances == 1) {
            return false;
        }
        return mMode == HostMode.ALWAYS
                || ContentionPolicy.concentrates(mConfiguration, instances, group);
    }

    /** Returns the hosts for the work of the primary of a service, the first choice first. */
    public List<String> primaryHosts(String service) {
        mCatalog.primary(service)
                .ifPresent(primary -> mPrimaryDomains.put(service, primary.failureDomain()));
        return mRanking.forPrimary(service, Optional.ofNullable(mPrimaryDomains.get(service)));
    }

    /** Returns the hosts for reads that replicas may answer, the first choice first. */
    public List<String> readHosts(String service) {
        return mRanking.forReads(service, mDomain);
    }

    /** Returns whether an instance is this one. */
    public boolean isThisInstance(String instance) {
        return mInstance.equals(instance);
    }

    /**
     * Returns the connections of this instance to the servers of a service: as planned without
     * hosts, and more if it is a host.
     *
     * @param planned the connections of an instance that is no host
     * @param connectionLimit the connections that one server accepts from all callers together
     */
    public GroupConnections raise(String service, GroupConnections planned, int connectionLimit) {
        if (!isConcentrated(service)) {
            return planned;
        }
        double asPrimaryHost = PRIMARY_HOST_FRACTION * weight(primaryHosts(service));
        double asReadHost = readFraction(planned) * weight(readHosts(service));
        long domains = mRanking.domains().values().stream().distinct().count();
        double elsewhere = Math.min(asReadHost, ALL_READ_HOSTS_ELSEWHERE_FRACTION / domains);
        if (asPrimaryHost == 0 && asReadHost == 0) {
            return planned;
        }
        Optional<String> primary = mCatalog.primary(service).map(CatalogServer::id);
        Map<String, Integer> limits = new HashMap<>(planned.limits());
        Map<String, Long> idle = new HashMap<>(planned.idleNanos());
        for (String server : planned.limits().keySet()) {
            boolean isPrimary = primary.equals(Optional.of(server));
            boolean isPreferred = planned.preferredReplica().equals(Optional.of(server));
            double asReader = isPreferred ? asReadHost : elsewhere;
            double fraction = Math.max(asReader, isPrimary ? asPrimaryHost : 0);
            if (fraction > 0) {
                limits.merge(server, (int) (connectionLimit * fraction), Math::max);
                idle.merge(server, HOST_IDLE_NANOS, Math::max);
            }
        }
        return new GroupConnections(limits, idle, planned.preferredReplica());
    }

    /** Returns the part of the connections of its replica that the first host for reads may use. */
    private double readFraction(GroupConnections planned) {
        int replicas = Math.max(1, planned.limits().size() - 1);
        long domains = mRanking.domains().values().stream().distinct().count();
        return Math.min(MAX_READ_HOST_FRACTION, ALL_READ_HOSTS_FRACTION * replicas / domains);
    }

    /** Returns how this instance counts as one of the hosts; 0 if it is none. */
    private double weight(List<String> hosts) {
        int rank = hosts.indexOf(mInstance);
        if (rank < 0) {
            return 0;
        }
        return rank == 0 ? 1 : 1 / LATER_HOST_DIVISOR;
    }
}
