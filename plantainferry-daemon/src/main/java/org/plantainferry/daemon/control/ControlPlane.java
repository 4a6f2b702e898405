package org.plantainferry.daemon.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.configuration.Configuration;
import org.plantainferry.api.configuration.Service;
import org.plantainferry.api.json.Json;
import org.plantainferry.daemon.log.LogEvent;
import org.plantainferry.daemon.settings.DaemonSettings;
import org.plantainferry.daemon.traffic.ServiceDispatcherRegistry;
import org.plantainferry.daemon.traffic.TokenBucketProvider;
import org.plantainferry.daemon.traffic.TrafficListener;
import org.plantainferry.daemon.traffic.TrafficSnapshot;
import org.plantainferry.engine.configuration.ConfigurationOutcome;
import org.plantainferry.engine.configuration.Freshness;
import org.plantainferry.engine.configuration.KeyDirectory;
import org.plantainferry.engine.drain.DrainCause;
import org.plantainferry.engine.drain.DrainPhase;
import org.plantainferry.engine.membership.HeartbeatView;
import org.plantainferry.engine.membership.Member;
import org.plantainferry.engine.membership.MembershipSnapshot;
import org.plantainferry.network.peer.PeerTransport;
import org.plantainferry.network.peer.generated.ConfigurationAnswer;
import org.plantainferry.network.peer.generated.ConfigurationRequest;
import org.plantainferry.network.peer.generated.Heartbeat;
import org.plantainferry.network.peer.generated.PeerMessage;
import org.plantainferry.network.peer.generated.ProbeOpinionRequest;
import org.plantainferry.network.peer.generated.ShareRequest;
import org.plantainferry.network.store.StoreObject;

/**
 * Joins the parts of control and publishes their decisions to traffic.
 *
 * <p>All state is touched by the control thread only; the public methods hand over to it.
 *
 * @since 0.1
 */
public final class ControlPlane implements TrafficListener {
    private static final long PUBLISH_MILLIS = 50;
    // A service has connections from at most this many instances (design page, section 10).
    private static final int GATEWAYS = 12;
    // Answers to heartbeats travel in less; a pause beyond this makes leases doubtful.
    private static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final String DRAINS = "drains/";
    private static final String SLOTS = "slots/";
    private static final String GROUPS = "groups/";

    private final ControlContext mContext;
    private final FleetState mFleet;
    private final ServiceDispatcherRegistry mLanes;
    private final AtomicReference<TrafficSnapshot> mSnapshot;
    private final StoreController mStore;
    private final HeartbeatController mHeartbeats;
    private final GroupMonitorController mGuardians;
    private final RateLimitController mLimits;
    private final FixedShareController mFixedShares;
    private KeyDirectory mKeys = KeyDirectory.EMPTY;
    private Map<ServiceName, List<InstanceId>> mGateways = Map.of();
    private long mGatewayMembership = -1;
    private long mGatewayConfiguration = -1;
    private Freshness mFreshness = Freshness.ISOLATED;
    private long mPublishedNanos;
    private final Map<InstanceId, Long> mPeerVersions = new HashMap<>();
    private volatile int mRequestsInProgress;

    /** Creates the control of an instance; {@link #start} begins its work. */
    ControlPlane(
            ControlContext context,
            FleetState fleet,
            PeerTransport peers,
            ProbeConnectionPool probes,
            ServiceDispatcherRegistry lanes,
            AtomicReference<TrafficSnapshot> snapshot) {
        mContext = context;
        mFleet = fleet;
        mLanes = lanes;
        mSnapshot = snapshot;
        mStore = new StoreController(context, fleet, new StoreEvents());
        mGuardians = new GroupMonitorController(context, fleet, peers, probes, lanes);
        mLimits = new RateLimitController(context, fleet, peers);
        mFixedShares = new FixedShareController(context, fleet);
        mHeartbeats =
                new HeartbeatController(
                        context, fleet, peers, mGuardians::recentTerms, new PeerEvents());
        mPublishedNanos = context.now();
    }

    /** Starts all parts. */
    public void start() {
        mContext.loop().run("start", this::startParts);
    }

    private void startParts() {
        mStore.start();
        mHeartbeats.start();
        mGuardians.start();
        mLimits.start();
        mFixedShares.start();
        mContext.loop().runEvery("publish", PUBLISH_MILLIS, this::publish);
    }

    /** Returns what limits the workspaces, by the policy in the settings. */
    public TokenBucketProvider tokenBuckets() {
        return mContext.settings().policy() == DaemonSettings.Policy.SIMPLE
                ? mFixedShares
                : mLimits;
    }

    /** Takes in the number of requests without a final answer. */
    public void onRequestsInProgress(int requests) {
        mRequestsInProgress = requests;
    }

    /** Starts the drain. */
    public void drain(DrainCause cause) {
        mContext.loop().run("drain", () -> startDrain(cause));
    }

    private void startDrain(DrainCause cause) {
        if (mFleet.drain().start(cause, mContext.now())) {
            LogEvent.DRAIN_STARTED.log(cause);
            mFleet.membership().leave(mContext.now());
            publish();
        }
    }

    private void publish() {
        long now = mContext.now();
        if (now - mPublishedNanos > PAUSE_NANOS) {
            LogEvent.PROCESS_PAUSED.log(TimeUnit.NANOSECONDS.toMillis(now - mPublishedNanos));
        }
        mPublishedNanos = now;
        mFleet.drain().update(mRequestsInProgress, mLanes.openTransactions(), now);
        MembershipSnapshot members = mFleet.membership().snapshot();
        updateGateways(members);
        TrafficSnapshot snapshot =
                new TrafficSnapshot(
                        mKeys,
                        mFleet.freshness().view(now),
                        members,
                        mGateways,
                        mFleet.drain().view(now));
        mSnapshot.set(snapshot);
        Freshness freshness = snapshot.freshness().at(now);
        if (freshness != mFreshness) {
            mFreshness = freshness;
            LogEvent.FRESHNESS_CHANGED.log(freshness);
        }
    }

    private void updateGateways(MembershipSnapshot members) {
        boolean isCurrent =
                mGatewayMembership == members.version()
                        && mGatewayConfiguration == mFleet.configuration().version();
        if (isCurrent) {
            return;
        }
        mPeerVersions.keySet().removeIf(id -> members.member(id).isEmpty());
        mGatewayMembership = members.version();
        mGatewayConfiguration = mFleet.configuration().version();
        int live = members.members().size();
        Map<ServiceName, List<InstanceId>> gateways = new HashMap<>();
        for (Service service : mFleet.configuration().parts().services()) {
            if (live > GATEWAYS) {
                gateways.put(
                        service.name(),
                        mFleet.hash().rankAcrossDomains(service.name().value(), GATEWAYS));
            }
            boolean uses =
                    live <= GATEWAYS || gateways.get(service.name()).contains(mFleet.self().id());
            if (uses) {
                mLanes.configure(
                        service,
                        Math.min(live, GATEWAYS),
                        mFleet.configuration().parts().workspaces());
            }
        }
        // Publishing copies the map, which costs nothing for one that is immutable already.
        mGateways = Map.copyOf(gateways);
    }

    private void offer(String json) {
        ConfigurationOutcome outcome = mFleet.configurations().offer(json);
        if (outcome instanceof ConfigurationOutcome.Accepted accepted) {
            onAccepted(accepted);
        } else if (outcome instanceof ConfigurationOutcome.Malformed malformed) {
            mStore.onStoredVersion(malformed.claimedVersion());
            LogEvent.CONFIGURATION_REJECTED.log(malformed.reason());
        }
    }

    private void onAccepted(ConfigurationOutcome.Accepted accepted) {
        Configuration current = accepted.current();
        mKeys = new KeyDirectory(current);
        mFleet.freshness().onVersionInForce(current.version());
        mGuardians.onConfiguration();
        mLimits.onConfiguration();
        mLanes.retain(current.parts().services().stream().map(Service::name).toList());
        publish();
        mLanes.withdraw(accepted.withdrawnKeys());
        LogEvent.CONFIGURATION_IN_FORCE.log(current.version());
    }

    @Override
    public void onStatementFailed(ServiceName service, ServerId server) {
        mContext.loop()
                .run("statement failure", () -> mGuardians.onStatementFailure(service, server));
    }

    @Override
    public void onTermObserved(ServiceName service, long term, Optional<ServerId> primary) {
        mContext.loop().run("term", () -> mGuardians.onTerm(service, term, primary));
    }

    /** Handles a heartbeat. */
    CompletableFuture<PeerMessage> onHeartbeat(Heartbeat heartbeat) {
        return onLoop(
                "heartbeat", () -> mHeartbeats.onHeartbeat(PeerMessageCodec.decode(heartbeat)));
    }

    /** Handles a share request. */
    CompletableFuture<PeerMessage> onShareRequest(ShareRequest request) {
        return onLoop(
                "share request",
                () ->
                        mLimits.reply(PeerMessageCodec.decode(request))
                                .map(
                                        answer ->
                                                PeerMessage.newBuilder()
                                                        .setShareAnswer(
                                                                PeerMessageCodec.encode(answer))
                                                        .build())
                                .orElse(null));
    }

    /** Handles the recall of an allocator. */
    void onShareRecall(String allocator) {
        mContext.loop().run("recall", () -> mLimits.onRecall(new InstanceId(allocator)));
    }

    /** Handles a request for a newer configuration. */
    CompletableFuture<PeerMessage> onConfigurationRequest(ConfigurationRequest request) {
        return onLoop("configuration request", () -> configurationAnswer(request.getNewerThan()));
    }

    private PeerMessage configurationAnswer(long newerThan) {
        Configuration current = mFleet.configuration();
        ConfigurationAnswer.Builder answer = ConfigurationAnswer.newBuilder();
        if (current.version() > newerThan) {
            answer.setFound(true).setConfiguration(Json.write(current));
        }
        return PeerMessage.newBuilder().setConfigurationAnswer(answer).build();
    }

    /** Handles the question of another guardian. */
    CompletableFuture<PeerMessage> onOpinionRequest(ProbeOpinionRequest request) {
        return onLoop(
                "opinion request",
                () ->
                        PeerMessage.newBuilder()
                                .setProbeOpinionAnswer(mGuardians.opinion(request))
                                .build());
    }

    private CompletableFuture<PeerMessage> onLoop(String name, Supplier<PeerMessage> question) {
        CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
        mContext.loop()
                .run(
                        name,
                        () -> {
                            try {
                                answer.complete(question.get());
                            } catch (PlantainferryException e) {
                                LogEvent.PEER_MESSAGE_REJECTED.log(e.getMessage());
                                answer.completeExceptionally(e);
                            }
                        });
        return answer;
    }

    /** Returns the phase of the drain as last published. */
    public DrainPhase drainPhase() {
        return mSnapshot.get().drain().phase();
    }

    /** Collects the status; not to be called on the control thread. */
    StatusReport status(long timeoutMillis) {
        return mContext.loop().call(this::collectStatus, timeoutMillis);
    }

    private StatusReport collectStatus() {
        long now = mContext.now();
        Map<InstanceId, PeerKnowledge> peers = new HashMap<>();
        for (Member member : mFleet.membership().snapshot().members()) {
            Optional<Long> silence =
                    mFleet.membership()
                            .silenceNanos(member.id(), now)
                            .map(TimeUnit.NANOSECONDS::toMillis);
            long version = mPeerVersions.getOrDefault(member.id(), 0L);
            peers.put(member.id(), new PeerKnowledge(version, silence));
        }
        long own = mFleet.configuration().version();
        peers.put(mFleet.self().id(), new PeerKnowledge(own, Optional.of(0L)));
        return new StatusReport(
                mFleet.self(),
                mFleet.drain().phase(),
                mFleet.configuration(),
                mFreshness,
                List.copyOf(mFleet.membership().snapshot().members()),
                peers,
                mGuardians.status(),
                now);
    }

    /** Holds what the status page shows. */
    record StatusReport(
            Member self,
            DrainPhase phase,
            Configuration configuration,
            Freshness freshness,
            List<Member> members,
            Map<InstanceId, PeerKnowledge> peers,
            List<GroupMonitorController.GroupStatus> groups,
            long nowNanos) {}

    /** Holds what is known of a peer besides its membership. */
    record PeerKnowledge(long configurationVersion, Optional<Long> silenceMillis) {
        static final PeerKnowledge NONE = new PeerKnowledge(0, Optional.empty());
    }

    /** Takes in what the store holds. */
    private final class StoreEvents implements StoreController.Listener {
        @Override
        public void onObject(StoreObject object, long sentNanos) {
            String path = object.path();
            if (path.equals(StoreController.CONFIGURATION_PATH)) {
                object.value().ifPresent(ControlPlane.this::offer);
            } else if (path.equals(DRAINS + mFleet.self().id())) {
                object.value().ifPresent(value -> startDrain(DrainCause.ORDER));
            } else if (path.equals(SLOTS + mFleet.self().failureDomain())) {
                mLimits.onSlotsChanged();
            } else if (path.startsWith(GROUPS)) {
                object.value().ifPresent(value -> onGroupRecord(path, value));
            }
        }

        private void onGroupRecord(String path, String value) {
            try {
                GroupMonitorController.GroupRecord record =
                        Json.read(
                                value,
                                GroupMonitorController.GroupRecord.class,
                                ErrorCode.CONFIGURATION_INVALID);
                ServiceName service = new ServiceName(path.substring(GROUPS.length()));
                mGuardians.onTerm(service, record.term(), Optional.of(record.primary()));
            } catch (PlantainferryException e) {
                LogEvent.CONFIGURATION_REJECTED.log(path + ": " + e.getMessage());
            }
        }

        @Override
        public void onStoreReached() {
            mLimits.onContact();
        }

        @Override
        public void onInstances() {
            publish();
        }
    }

    /** Takes in what peers tell. */
    private final class PeerEvents implements HeartbeatController.Listener {
        @Override
        public void onHeartbeat(HeartbeatView heartbeat) {
            mPeerVersions.put(heartbeat.instance(), heartbeat.status().configurationVersion());
            if (heartbeat.failureDomain().equals(mFleet.self().failureDomain())) {
                mLimits.onContact();
            }
            heartbeat
                    .status()
                    .groupTerms()
                    .forEach(
                            each -> mGuardians.onTerm(each.service(), each.term(), each.primary()));
        }

        @Override
        public void onConfiguration(String json) {
            offer(json);
        }
    }
}
