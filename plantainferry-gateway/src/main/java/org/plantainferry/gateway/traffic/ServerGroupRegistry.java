package org.plantainferry.gateway.traffic;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.plantainferry.engine.capacity.LearnedServerRoom;
import org.plantainferry.engine.capacity.ServerCapacity;
import org.plantainferry.engine.capacity.ServerRoom;
import org.plantainferry.engine.capacity.UnlimitedServerRoom;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.catalog.GroupSettings;
import org.plantainferry.engine.evacuation.EvacuatedDomains;
import org.plantainferry.engine.hosting.HostAssignments;
import org.plantainferry.engine.placement.ConnectionPlan;
import org.plantainferry.engine.placement.GroupConnections;
import org.plantainferry.engine.placement.ServerHealth;
import org.plantainferry.engine.retry.RetryBudget;
import org.plantainferry.engine.retry.SecondAttemptPolicy;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.settings.ExperimentalSettings;
import org.plantainferry.gateway.settings.GatewaySettings;
import org.plantainferry.gateway.spi.WireFormat;

/**
 * Holds one {@link ServerGroup} for each service and keeps it in step with the server catalog.
 *
 * <p>Not thread-safe: used by the traffic thread only.
 */
final class ServerGroupRegistry {
    private static final double PERCENT = 100;
    private static final int DEFAULT_MAX_CONNECTIONS = 30;
    private static final long NO_EVACUATION_MILLIS = Long.MAX_VALUE / 1_000_000;
    // Upper bound of the time between the choice of a connection and the arrival of its statement.
    private static final long LEAVING_MARGIN_MILLIS = 1_500;

    private final EventLoop mLoop;
    private final WireFormat mFormat;
    private final String mInstance;
    private final String mFailureDomain;
    private final String mLocalAddress;
    private final boolean mLearnsRoom;
    private final long mLeavingNanos;
    private final LongSupplier mClock;
    private final TrafficMetrics mMetrics;
    private final ConnectionMemory mMemory;
    private final PrimaryLeaseGuard mLeaseGuard;
    private final HostAssignments mHosts;
    private final Map<String, ServerGroup> mGroups = new HashMap<>();
    private final EvacuatedDomains mEvacuatedDomains;
    private final Map<String, Integer> mSenders = new HashMap<>();

    ServerGroupRegistry(
            EventLoop loop,
            WireFormat format,
            GatewaySettings settings,
            LongSupplier clock,
            TrafficMetrics metrics,
            ConnectionMemory memory,
            PrimaryLeaseGuard leaseGuard,
            HostAssignments hosts) {
        mLoop = loop;
        mFormat = format;
        mInstance = settings.instance();
        mFailureDomain = settings.failureDomain();
        mLocalAddress = settings.localAddress();
        mLearnsRoom = settings.experimental().serverRoom().equals(ExperimentalSettings.LEARNED);
        mLeavingNanos =
                TimeUnit.MILLISECONDS.toNanos(
                        Math.max(0, settings.serverDrainMillis() - LEAVING_MARGIN_MILLIS));
        mEvacuatedDomains =
                new EvacuatedDomains(settings.evacuationMillis().orElse(NO_EVACUATION_MILLIS));
        mClock = clock;
        mMetrics = metrics;
        mMemory = memory;
        mLeaseGuard = leaseGuard;
        mHosts = hosts;
    }

    ServerGroup group(String service) {
        return mGroups.computeIfAbsent(service, this::createGroup);
    }

    private ServerGroup createGroup(String service) {
        long now = mClock.getAsLong();
        return new ServerGroup(
                mLeavingNanos,
                server -> mLeaseGuard.mayUseAsPrimary(service, server),
                new SecondAttemptPolicy(new RetryBudget(now), now),
                mMetrics.load());
    }

    /** Applies a new view: creates pools for added servers and closes those of removed servers. */
    void applyView(FleetView view) {
        mHosts.onView(view.configuration(), view.catalog(), view.otherInstanceDomains());
        mEvacuatedDomains.onDomains(view.evacuatedDomains(), mClock.getAsLong());
        Map<String, String> domains = new HashMap<>(view.otherInstanceDomains());
        domains.put(mInstance, mFailureDomain);
        ConnectionPlan plan = new ConnectionPlan(mInstance, domains);
        Set<String> present = new HashSet<>();
        mSenders.clear();
        for (String service : view.catalog().services()) {
            applyService(view, plan, service, present);
        }
        mGroups.forEach(
                (service, group) ->
                        group.setPrimary(view.catalog().primary(service).map(CatalogServer::id)));
        for (ServerGroup group : mGroups.values()) {
            group.secondAttempts().shareAmong(domains.size());
            for (ServerConnectionPool pool : List.copyOf(group.pools().values())) {
                if (!present.contains(pool.server().id())) {
                    group.pools().remove(pool.server().id());
                    pool.close();
                }
            }
        }
    }

    private void applyService(
            FleetView view, ConnectionPlan plan, String service, Set<String> present) {
        GroupSettings settings = view.configuration().groups().get(service);
        int connections =
                settings == null ? DEFAULT_MAX_CONNECTIONS : settings.maximumConnections();
        int instances = view.otherInstanceDomains().size() + 1;
        // Where statements go to hosts, one instance sends nearly all of them.
        mSenders.put(service, mHosts.isConcentrated(service) ? 1 : instances);
        List<CatalogServer> servers = view.catalog().servers(service);
        Optional<String> primary = view.catalog().primary(service).map(CatalogServer::id);
        List<CatalogServer> usableServers =
                servers.stream()
                        .filter(
                                server ->
                                        isPrimary(server, primary)
                                                || !mEvacuatedDomains.isEvacuated(
                                                        server.failureDomain()))
                        .toList();
        GroupConnections planned =
                mHosts.raise(service, plan.plan(usableServers, primary, connections), connections);
        for (CatalogServer server : servers) {
            present.add(server.id());
            ServerConnectionPool pool = poolOf(server);
            pool.setClosedFrom(
                    mEvacuatedDomains.closedFromNanos(
                            server.failureDomain(), isPrimary(server, primary)));
            pool.setPlan(
                    planned.limits().getOrDefault(server.id(), 1),
                    planned.idleNanos().getOrDefault(server.id(), 0L));
        }
        group(service).setPreferredReplica(planned.preferredReplica());
    }

    private static boolean isPrimary(CatalogServer server, Optional<String> primary) {
        return primary.equals(Optional.of(server.id()));
    }

    private ServerConnectionPool poolOf(CatalogServer server) {
        Map<String, ServerConnectionPool> pools = group(server.service()).pools();
        ServerConnectionPool known = pools.get(server.id());
        if (known != null && known.server().equals(server)) {
            return known;
        }
        ServerHealth health = new ServerHealth();
        if (known != null && known.server().isSameProcess(server)) {
            // The process is the same, so its connections stay valid when its role or state
            // changes.
            known.update(server);
            return known;
        }
        if (known != null) {
            known.close();
        }
        ServerConnectionPool pool =
                new ServerConnectionPool(
                        mLoop,
                        mFormat,
                        mLocalAddress,
                        mClock,
                        server,
                        health,
                        room(server),
                        mLeavingNanos,
                        mMetrics,
                        mMemory);
        pools.put(server.id(), pool);
        return pool;
    }

    private ServerRoom room(CatalogServer server) {
        if (!mLearnsRoom) {
            return new UnlimitedServerRoom();
        }
        int slots = Math.max(1, server.slots());
        return new LearnedServerRoom(
                slots,
                Math.max(1, slots / mSenders.getOrDefault(server.service(), 1)),
                group(server.service()).workTimes(),
                mClock.getAsLong());
    }

    /** Logs the servers that are believed to take much more or less than before. */
    void logCapacityChanges() {
        long now = mClock.getAsLong();
        mGroups.values().stream()
                .flatMap(group -> group.pools().values().stream())
                .forEach(
                        pool ->
                                pool.room()
                                        .takeChange(now)
                                        .ifPresent(capacity -> log(pool.server(), capacity)));
    }

    private static void log(CatalogServer server, ServerCapacity capacity) {
        GatewayEvent.SERVER_CAPACITY.log(
                server.service(),
                server.id(),
                capacity.limit(),
                Math.round(PERCENT * capacity.slowness()),
                Math.round(PERCENT * capacity.queueing()));
    }

    /** Closes all connections. */
    void close() {
        mGroups.values()
                .forEach(group -> group.pools().values().forEach(ServerConnectionPool::close));
    }

    /**
     * Updates the metrics of the load of all servers.
     *
     * @param workspaces the workspaces of the configuration in force
     */
    void updateLoadMetrics(Set<String> workspaces) {
        long now = mClock.getAsLong();
        mMetrics.load()
                .update(
                        mGroups.values().stream()
                                .flatMap(group -> group.pools().values().stream())
                                .map(pool -> pool.load(now))
                                .toList(),
                        workspaces);
    }

    /** Closes connections that have been idle for longer than their plan allows. */
    void closeIdleConnections() {
        for (ServerGroup group : mGroups.values()) {
            group.pools().values().forEach(ServerConnectionPool::closeIdle);
        }
    }
}
