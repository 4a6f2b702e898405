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
import org.plantainferry.engine.membership.HeartbeatContent;
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
    private static final long PUBLISH_INTERVAL_MILLIS = 50;
    // A service has connections from at most this many instances (design page, section 10).
    private static final int MAX_GATEWAYS_PER_SERVICE = 12;
    // Answers to heartbeats travel in less; a pause beyond this makes leases doubtful.
    private static final long PAUSE_THRESHOLD_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final String DRAINS_PREFIX = "drains/";
    private static final String SLOTS_PREFIX = "slots/";
    private static final String GROUPS_PREFIX = "groups/";

    private final ControlContext mContext;
    private final FleetState mFleet;
    private final ServiceDispatcherRegistry mDispatchers;
    private final AtomicReference<TrafficSnapshot> mSnapshot;
    private final StoreController mStoreController;
    private final HeartbeatController mHeartbeatController;
    private final GroupMonitorController mMonitorController;
    private final RateLimitController mRateLimitController;
    private final FixedShareController mFixedShareController;
    private KeyDirectory mKeys = KeyDirectory.EMPTY;
    private Map<ServiceName, List<InstanceId>> mGateways = Map.of();
    private long mGatewayMembershipVersion = -1;
    private long mGatewayConfigurationVersion = -1;
    private Freshness mFreshness = Freshness.ISOLATED;
    private long mPublishedNanos;
    private final Map<InstanceId, Long> mPeerConfigurationVersions = new HashMap<>();
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
        mDispatchers = lanes;
        mSnapshot = snapshot;
        mStoreController = new StoreController(context, fleet, new StoreListener());
        mMonitorController = new GroupMonitorController(context, fleet, peers, probes, lanes);
        mRateLimitController = new RateLimitController(context, fleet, peers);
        mFixedShareController = new FixedShareController(context, fleet);
        mHeartbeatController =
                new HeartbeatController(
                        context,
                        fleet,
                        peers,
                        mMonitorController::recentTerms,
                        new HeartbeatListener());
        mPublishedNanos = context.now();
    }

    /** Starts all parts. */
    public void start() {
        mContext.loop().run("start", this::startControllers);
    }

    private void startControllers() {
        mStoreController.start();
        mHeartbeatController.start();
        mMonitorController.start();
        mRateLimitController.start();
        mFixedShareController.start();
        mContext.loop().runEvery("publish", PUBLISH_INTERVAL_MILLIS, this::publish);
    }

    /** Returns what limits the workspaces, by the policy in the settings. */
    public TokenBucketProvider tokenBuckets() {
        return mContext.settings().policy() == DaemonSettings.Policy.SIMPLE
                ? mFixedShareController
                : mRateLimitController;
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
        if (now - mPublishedNanos > PAUSE_THRESHOLD_NANOS) {
            LogEvent.PROCESS_PAUSED.log(TimeUnit.NANOSECONDS.toMillis(now - mPublishedNanos));
        }
        mPublishedNanos = now;
        mFleet.drain().update(mRequestsInProgress, mDispatchers.openTransactions(), now);
        MembershipSnapshot members = mFleet.membership().snapshot();
        updateGateways(members);
        TrafficSnapshot snapshot =
                new TrafficSnapshot(
                        mKeys,
                        mFleet.freshness().window(now),
                        members,
                        mGateways,
                        mFleet.drain().view(now));
        mSnapshot.set(snapshot);
        Freshness freshness = snapshot.freshness().freshnessAt(now);
        if (freshness != mFreshness) {
            mFreshness = freshness;
            LogEvent.FRESHNESS_CHANGED.log(freshness);
        }
    }

    private void updateGateways(MembershipSnapshot members) {
        boolean isCurrent =
                mGatewayMembershipVersion == members.version()
                        && mGatewayConfigurationVersion == mFleet.configuration().version();
        if (isCurrent) {
            return;
        }
        mPeerConfigurationVersions.keySet().removeIf(id -> members.member(id).isEmpty());
        mGatewayMembershipVersion = members.version();
        mGatewayConfigurationVersion = mFleet.configuration().version();
        int live = members.members().size();
        Map<ServiceName, List<InstanceId>> gateways = new HashMap<>();
        for (Service service : mFleet.configuration().parts().services()) {
            if (live > MAX_GATEWAYS_PER_SERVICE) {
                gateways.put(
                        service.name(),
                        mFleet.rendezvousHash()
                                .rankAcrossDomains(
                                        service.name().value(), MAX_GATEWAYS_PER_SERVICE));
            }
            boolean uses =
                    live <= MAX_GATEWAYS_PER_SERVICE
                            || gateways.get(service.name()).contains(mFleet.self().id());
            if (uses) {
                mDispatchers.configure(
                        service,
                        Math.min(live, MAX_GATEWAYS_PER_SERVICE),
                        mFleet.configuration().parts().workspaces());
            }
        }
        // Publishing copies the map, which costs nothing for one that is immutable already.
        mGateways = Map.copyOf(gateways);
    }

    private void offerConfiguration(String json) {
        ConfigurationOutcome outcome = mFleet.configurationState().offer(json);
        if (outcome instanceof ConfigurationOutcome.Accepted accepted) {
            onConfigurationAccepted(accepted);
        } else if (outcome instanceof ConfigurationOutcome.Malformed malformed) {
            mStoreController.recordStoredVersion(malformed.claimedVersion());
            LogEvent.CONFIGURATION_REJECTED.log(malformed.reason());
        }
    }

    private void onConfigurationAccepted(ConfigurationOutcome.Accepted accepted) {
        Configuration current = accepted.current();
        mKeys = new KeyDirectory(current);
        mFleet.freshness().onVersionInForce(current.version());
        mMonitorController.onConfiguration();
        mRateLimitController.onConfiguration();
        mDispatchers.retain(current.parts().services().stream().map(Service::name).toList());
        publish();
        mDispatchers.withdrawKeys(accepted.withdrawnKeys());
        LogEvent.CONFIGURATION_IN_FORCE.log(current.version());
    }

    @Override
    public void onStatementFailed(ServiceName service, ServerId server) {
        mContext.loop()
                .run(
                        "statement failure",
                        () -> mMonitorController.onStatementFailure(service, server));
    }

    @Override
    public void onTermObserved(ServiceName service, long term, Optional<ServerId> primary) {
        mContext.loop().run("term", () -> mMonitorController.onTerm(service, term, primary));
    }

    /** Handles a heartbeat. */
    CompletableFuture<PeerMessage> onHeartbeat(Heartbeat heartbeat) {
        return answerOnLoop(
                "heartbeat",
                () -> mHeartbeatController.onHeartbeat(PeerMessageCodec.decode(heartbeat)));
    }

    /** Handles a share request. */
    CompletableFuture<PeerMessage> onShareRequest(ShareRequest request) {
        return answerOnLoop(
                "share request",
                () ->
                        mRateLimitController
                                .answerShareRequest(PeerMessageCodec.decode(request))
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
        mContext.loop()
                .run("recall", () -> mRateLimitController.onRecall(new InstanceId(allocator)));
    }

    /** Handles a request for a newer configuration. */
    CompletableFuture<PeerMessage> onConfigurationRequest(ConfigurationRequest request) {
        return answerOnLoop(
                "configuration request", () -> configurationAnswer(request.getNewerThan()));
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
        return answerOnLoop(
                "opinion request",
                () ->
                        PeerMessage.newBuilder()
                                .setProbeOpinionAnswer(
                                        mMonitorController.answerOpinionRequest(request))
                                .build());
    }

    private CompletableFuture<PeerMessage> answerOnLoop(
            String name, Supplier<PeerMessage> question) {
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
        Map<InstanceId, PeerStatus> peers = new HashMap<>();
        for (Member member : mFleet.membership().snapshot().members()) {
            Optional<Long> silence =
                    mFleet.membership()
                            .silenceNanos(member.id(), now)
                            .map(TimeUnit.NANOSECONDS::toMillis);
            long version = mPeerConfigurationVersions.getOrDefault(member.id(), 0L);
            peers.put(member.id(), new PeerStatus(version, silence));
        }
        long own = mFleet.configuration().version();
        peers.put(mFleet.self().id(), new PeerStatus(own, Optional.of(0L)));
        return new StatusReport(
                mFleet.self(),
                mFleet.drain().phase(),
                mFleet.configuration(),
                mFreshness,
                List.copyOf(mFleet.membership().snapshot().members()),
                peers,
                mMonitorController.status(),
                now);
    }

    /** Holds what the status page shows. */
    record StatusReport(
            Member self,
            DrainPhase phase,
            Configuration configuration,
            Freshness freshness,
            List<Member> members,
            Map<InstanceId, PeerStatus> peers,
            List<GroupMonitorController.GroupStatus> groups,
            long nowNanos) {}

    /** Holds what is known of a peer besides its membership. */
    record PeerStatus(long configurationVersion, Optional<Long> silenceMillis) {
        static final PeerStatus NONE = new PeerStatus(0, Optional.empty());
    }

    /** Takes in what the store holds. */
    private final class StoreListener implements StoreController.Listener {
        @Override
        public void onObject(StoreObject object, long sentNanos) {
            String path = object.path();
            if (path.equals(StoreController.CONFIGURATION_PATH)) {
                object.value().ifPresent(ControlPlane.this::offerConfiguration);
            } else if (path.equals(DRAINS_PREFIX + mFleet.self().id())) {
                object.value().ifPresent(value -> startDrain(DrainCause.ORDER));
            } else if (path.equals(SLOTS_PREFIX + mFleet.self().failureDomain())) {
                mRateLimitController.onSlotsChanged();
            } else if (path.startsWith(GROUPS_PREFIX)) {
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
                ServiceName service = new ServiceName(path.substring(GROUPS_PREFIX.length()));
                mMonitorController.onTerm(service, record.term(), Optional.of(record.primary()));
            } catch (PlantainferryException e) {
                LogEvent.CONFIGURATION_REJECTED.log(path + ": " + e.getMessage());
            }
        }

        @Override
        public void onStoreAnswered() {
            mRateLimitController.onContact();
        }

        @Override
        public void onInstanceList() {
            publish();
        }
    }

    /** Takes in what peers tell. */
    private final class HeartbeatListener implements HeartbeatController.Listener {
        @Override
        public void onHeartbeat(HeartbeatContent heartbeat) {
            mPeerConfigurationVersions.put(
                    heartbeat.instance(), heartbeat.status().configurationVersion());
            if (heartbeat.failureDomain().equals(mFleet.self().failureDomain())) {
                mRateLimitController.onContact();
            }
            heartbeat
                    .status()
                    .groupTerms()
                    .forEach(
                            each ->
                                    mMonitorController.onTerm(
                                            each.service(), each.term(), each.primary()));
        }

        @Override
        public void onConfiguration(String json) {
            offerConfiguration(json);
        }
    }
}
