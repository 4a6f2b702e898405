package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.catalog.GroupSettings;
import org.plantainferry.engine.catalog.ServerCatalog;
import org.plantainferry.engine.membership.RendezvousScore;
import org.plantainferry.engine.promotion.ReplicaMembership;
import org.plantainferry.engine.promotion.ReplicaState;
import org.plantainferry.engine.promotion.ServerLife;
import org.plantainferry.engine.promotion.SynchronousGroup;
import org.plantainferry.gateway.feed.StoreEpochTracker;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.spi.ReplicaMembershipStore;
import org.plantainferry.gateway.spi.ReplicaMembershipStore.StoredMembership;
import org.plantainferry.gateway.spi.StoreAnswer;
import org.plantainferry.gateway.statement.ServerStatus;
import org.plantainferry.gateway.statement.Statement;
import org.plantainferry.gateway.traffic.FleetView;
import org.plantainferry.gateway.traffic.ProbeResult;
import org.plantainferry.gateway.traffic.ServerProbe;
import org.plantainferry.network.http.Futures;

/**
 * Keeps the record of the replicas that may hold acknowledged commits, for the groups in which
 * commits wait for replicas.
 *
 * <p>The record in the store lets an instance that starts later know of replicas whose entries are
 * gone. The instance that ranks first for a group checks the record first; the others find it done.
 * Nothing is read or written while no replica comes or goes. Used by the control thread only.
 */
final class ReplicaMembershipKeeper {
    private static final long CHECK_DELAY_MILLIS = 200;
    private static final long CHECK_INTERVAL_MILLIS = 1_000;
    private static final long DELAY_PER_RANK_MILLIS = 500;

    private final EventLoop mLoop;
    private final String mInstance;
    private final ReplicaMembershipStore mStore;
    private final StoreEpochTracker mEpochs;
    private final ServerProbe mProbe;
    private final LongSupplier mClock;
    private final Map<String, SynchronousGroup> mGroups = new HashMap<>();
    private final Map<String, Long> mVersions = new HashMap<>();
    private final Set<String> mScheduled = new HashSet<>();
    private ServerCatalog mCatalog = ServerCatalog.EMPTY;
    private Set<String> mOtherInstances = Set.of();

    /**
     * Creates a keeper without groups.
     *
     * @param probe asks servers for their positions
     */
    ReplicaMembershipKeeper(
            EventLoop loop,
            String instance,
            ReplicaMembershipStore store,
            StoreEpochTracker epochs,
            ServerProbe probe,
            LongSupplier clock) {
        mLoop = loop;
        mInstance = instance;
        mStore = store;
        mEpochs = epochs;
        mProbe = probe;
        mClock = clock;
        epochs.addListener(epoch -> mGroups.keySet().forEach(this::scheduleFirstCheck));
    }

    void onView(FleetView view) {
        mCatalog = view.catalog();
        mOtherInstances = view.otherInstances();
        Map<String, GroupSettings> settings = view.configuration().groups();
        mGroups.keySet().removeIf(service -> synchronousReplicas(settings.get(service)) == 0);
        settings.forEach(
                (service, group) -> {
                    if (synchronousReplicas(group) > 0) {
                        update(service, group.synchronousReplicas());
                    }
                });
    }

    private static int synchronousReplicas(GroupSettings settings) {
        return settings == null ? 0 : settings.synchronousReplicas();
    }

    private void update(String service, int synchronousReplicas) {
        long now = mClock.getAsLong();
        SynchronousGroup group =
                mGroups.computeIfAbsent(service, created -> new SynchronousGroup());
        Optional<CatalogServer> primary = mCatalog.primary(service);
        boolean hadReturned = group.hasReturned();
        group.onSynchronousReplicas(synchronousReplicas, now);
        group.onServers(mCatalog.servers(service), primary, now);
        if (group.hasReturned() && !hadReturned) {
            primary.ifPresent(server -> askPrimary(server, group));
        }
        if (group.isRecordOutdated() || group.hasUnproven()) {
            scheduleFirstCheck(service);
        }
    }

    /** Asks the primary at once, because a server that has started again may receive from it. */
    private void askPrimary(CatalogServer primary, SynchronousGroup group) {
        mProbe.send(primary, new Statement.Status(), ReplicaStateQuery.STATUS_TIMEOUT_MILLIS)
                .thenAccept(
                        result ->
                                mLoop.execute(
                                        () -> {
                                            if (isPrimary(result)) {
                                                group.onPrimaryAnswered();
                                            }
                                        }));
    }

    private static boolean isPrimary(ProbeResult result) {
        return result.status().filter(ServerStatus::primary).isPresent();
    }

    /** Returns the group of a service in which commits wait for replicas; else empty. */
    Optional<SynchronousGroup> group(String service) {
        return Optional.ofNullable(mGroups.get(service));
    }

    private void scheduleFirstCheck(String service) {
        scheduleCheck(service, CHECK_DELAY_MILLIS);
    }

    private void scheduleCheck(String service, long delayMillis) {
        if (mScheduled.add(service)) {
            int rank = RendezvousScore.rank(mInstance, mOtherInstances, service);
            mLoop.schedule(
                    () -> check(service),
                    delayMillis + rank * DELAY_PER_RANK_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void check(String service) {
        SynchronousGroup group = mGroups.get(service);
        if (group == null) {
            mScheduled.remove(service);
            return;
        }
        refresh(
                service,
                failure -> {
                    if (failure.isPresent()) {
                        endCheck(service);
                    } else {
                        proveOrWrite(service, group);
                    }
                });
    }

    private void endCheck(String service) {
        mScheduled.remove(service);
        boolean isOpen =
                group(service)
                        .filter(group -> group.isRecordOutdated() || group.hasUnproven())
                        .isPresent();
        if (isOpen) {
            scheduleCheck(service, CHECK_INTERVAL_MILLIS);
        }
    }

    /**
     * Reads the record of a group and merges it.
     *
     * @param callback runs once; receives the reason if the record could not be read
     */
    void refresh(String service, Consumer<Optional<String>> callback) {
        mStore.read(service)
                .whenComplete(
                        (answer, failure) ->
                                mLoop.execute(
                                        () -> callback.accept(merge(service, answer, failure))));
    }

    private Optional<String> merge(
            String service, StoreAnswer<Optional<StoredMembership>> answer, Throwable failure) {
        if (failure != null) {
            return Optional.of("store: " + Futures.unwrap(failure).getMessage());
        }
        if (!mEpochs.isCurrent(answer.epoch())) {
            return Optional.of("store: the epoch is missing or has ended");
        }
        Optional<StoredMembership> stored = answer.content();
        mVersions.remove(service);
        stored.ifPresent(record -> mVersions.put(service, record.version()));
        group(service)
                .ifPresent(
                        group ->
                                group.onRecord(
                                        stored.map(StoredMembership::membership),
                                        answer.epoch(),
                                        mClock.getAsLong()));
        return Optional.empty();
    }

    private void proveOrWrite(String service, SynchronousGroup group) {
        Optional<CatalogServer> primary = mCatalog.primary(service);
        Optional<Set<ServerLife>> provable = group.provable(mClock.getAsLong());
        if (primary.isEmpty() || (provable.isEmpty() && !group.hasReturned())) {
            write(service, group);
            return;
        }
        mProbe.send(primary.get(), new Statement.Status(), ReplicaStateQuery.STATUS_TIMEOUT_MILLIS)
                .thenAccept(
                        result ->
                                mLoop.execute(
                                        () -> onPrimaryStatus(service, group, provable, result)));
    }

    private void onPrimaryStatus(
            String service,
            SynchronousGroup group,
            Optional<Set<ServerLife>> provable,
            ProbeResult result) {
        if (isPrimary(result)) {
            group.onPrimaryAnswered();
        }
        if (!isPrimary(result) || provable.isEmpty()) {
            write(service, group);
            return;
        }
        Optional<String> primary = mCatalog.primary(service).map(CatalogServer::id);
        List<CatalogServer> replicas =
                mCatalog.servers(service).stream()
                        .filter(server -> !primary.equals(Optional.of(server.id())))
                        .toList();
        if (replicas.isEmpty()) {
            write(service, group);
            return;
        }
        ReplicaStateQuery.run(
                mLoop,
                mProbe,
                replicas,
                ReplicaStateQuery.STATUS_TIMEOUT_MILLIS,
                (List<ReplicaState> states) -> {
                    group.onProof(provable.get(), result.status().get().received(), states);
                    write(service, group);
                });
    }

    private void write(String service, SynchronousGroup group) {
        if (!group.isRecordOutdated()) {
            endCheck(service);
            return;
        }
        ReplicaMembership membership = group.membership();
        mStore.write(service, Optional.ofNullable(mVersions.get(service)), membership)
                .whenComplete(
                        (answer, failure) ->
                                mLoop.execute(
                                        () -> onWritten(service, membership, answer, failure)));
    }

    private void onWritten(
            String service,
            ReplicaMembership membership,
            StoreAnswer<Boolean> answer,
            Throwable failure) {
        boolean isWritten =
                failure == null && answer.content() && mEpochs.isCurrent(answer.epoch());
        if (isWritten) {
            GatewayEvent.REPLICAS_RECORDED.log(
                    service, membership.synchronousReplicas(), membership.replicas());
            group(service)
                    .ifPresent(
                            group ->
                                    group.onRecord(
                                            Optional.of(membership),
                                            answer.epoch(),
                                            mClock.getAsLong()));
        }
        endCheck(service);
    }
}
