package org.plantainferry.daemon.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.ServerRole;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.configuration.Service;
import org.plantainferry.api.configuration.TargetServer;
import org.plantainferry.api.json.Json;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.daemon.log.LogEvent;
import org.plantainferry.daemon.traffic.ServerObservations;
import org.plantainferry.daemon.traffic.ServiceDispatcherRegistry;
import org.plantainferry.engine.membership.GroupTerm;
import org.plantainferry.engine.replacement.FenceAnswer;
import org.plantainferry.engine.replacement.GroupMonitor;
import org.plantainferry.engine.replacement.GroupMonitorAction;
import org.plantainferry.engine.replacement.ProbeOpinion;
import org.plantainferry.engine.replacement.PromoteAnswer;
import org.plantainferry.engine.replacement.ServerProbeResult;
import org.plantainferry.engine.routing.ServerObservation;
import org.plantainferry.network.peer.PeerTransport;
import org.plantainferry.network.peer.generated.PeerMessage;
import org.plantainferry.network.peer.generated.ProbeOpinionAnswer;
import org.plantainferry.network.peer.generated.ProbeOpinionRequest;
import org.plantainferry.network.store.WriteCondition;
import org.plantainferry.network.target.FenceResult;
import org.plantainferry.network.target.PromotionResult;
import org.plantainferry.network.target.TargetProtocol;

/** Executes the actions that the group monitors decide on. */
final class GroupMonitorController {
    private static final long TICK_INTERVAL_MILLIS = 25;
    private static final long PROBE_TIMEOUT_MILLIS = 600;
    private static final long PROPOSAL_TIMEOUT_MILLIS = 500;
    private static final long OPINION_TIMEOUT_MILLIS = 300;
    private static final int MONITORS_PER_GROUP = 3;
    // Stands for the age of a contact that never took place.
    private static final long NO_CONTACT_AGE_MILLIS = TimeUnit.DAYS.toMillis(1);
    private static final long RECENT_TERM_AGE_NANOS = TimeUnit.SECONDS.toNanos(30);
    // Keeps the size of a heartbeat below 600 bytes.
    private static final int MAX_RECENT_TERMS = 4;
    private static final String GROUPS_PREFIX = "groups/";

    private final ControlContext mContext;
    private final FleetState mFleet;
    private final PeerTransport mPeers;
    private final ProbeConnectionPool mProbes;
    private final ServiceDispatcherRegistry mDispatchers;
    private final Map<ServiceName, MonitoredGroup> mMonitoredGroups = new HashMap<>();
    private long mMembershipVersion = -1;

    /** Combines a group monitor with the last observations of the servers of its group. */
    private static final class MonitoredGroup {
        private final GroupMonitor mMonitor;
        private final Service mService;
        private final Map<ServerId, ServerObservation> mObservations = new HashMap<>();
        private final Set<ServerId> mUnreachable = new HashSet<>();
        private long mTermChangedNanos;
        private long mTerm;
        private Optional<ServerId> mPrimary = Optional.empty();

        MonitoredGroup(GroupMonitor monitor, Service service) {
            mMonitor = monitor;
            mService = service;
        }

        boolean isReachable(ServerObservation observation) {
            return !mUnreachable.contains(observation.server());
        }
    }

    GroupMonitorController(
            ControlContext context,
            FleetState fleet,
            PeerTransport peers,
            ProbeConnectionPool probes,
            ServiceDispatcherRegistry dispatchers) {
        mContext = context;
        mFleet = fleet;
        mPeers = peers;
        mProbes = probes;
        mDispatchers = dispatchers;
    }

    void start() {
        mContext.loop().runEvery("guardians", TICK_INTERVAL_MILLIS, this::tick);
    }

    /** Creates monitors for new services and changed groups, and drops those of withdrawn ones. */
    void onConfiguration() {
        Map<ServiceName, MonitoredGroup> previous = new HashMap<>(mMonitoredGroups);
        mMonitoredGroups.clear();
        String proposer = mFleet.self().id() + "." + mContext.incarnation();
        for (Service service : mFleet.configuration().parts().services()) {
            MonitoredGroup existing = previous.get(service.name());
            if (existing != null && existing.mService.servers().equals(service.servers())) {
                mMonitoredGroups.put(service.name(), existing);
                continue;
            }
            List<ServerId> servers = service.servers().stream().map(TargetServer::id).toList();
            GroupMonitor monitor =
                    new GroupMonitor(mFleet.self().id(), proposer, servers, mContext.now());
            mMonitoredGroups.put(service.name(), new MonitoredGroup(monitor, service));
        }
        mMembershipVersion = -1;
    }

    private void tick() {
        long now = mContext.now();
        if (mMembershipVersion != mFleet.membership().snapshot().version()) {
            mMembershipVersion = mFleet.membership().snapshot().version();
            mMonitoredGroups.forEach(
                    (name, group) ->
                            group.mMonitor.onMonitors(
                                    mFleet.rendezvousHash()
                                            .rankAcrossDomains(name.value(), MONITORS_PER_GROUP),
                                    now));
        }
        for (MonitoredGroup group : mMonitoredGroups.values()) {
            if (group.mMonitor.rank().isPresent()) {
                execute(group, group.mMonitor.tick(now));
            }
        }
    }

    private void execute(MonitoredGroup group, List<GroupMonitorAction> actions) {
        for (GroupMonitorAction action : actions) {
            if (action instanceof GroupMonitorAction.Probe probe) {
                probe(group, probe.server());
            } else if (action instanceof GroupMonitorAction.RequestOpinion request) {
                requestOpinion(group, request);
            } else if (action instanceof GroupMonitorAction.Fence fence) {
                fence(group, fence);
            } else if (action instanceof GroupMonitorAction.Promote promote) {
                promote(group, promote);
            } else if (action instanceof GroupMonitorAction.Announce announce) {
                announce(group, announce);
            }
        }
    }

    private static Optional<String> address(MonitoredGroup group, ServerId server) {
        return group.mService.servers().stream()
                .filter(candidate -> candidate.id().equals(server))
                .map(TargetServer::address)
                .findFirst();
    }

    private void probe(MonitoredGroup group, ServerId server) {
        Optional<String> address = address(group, server);
        if (address.isEmpty()) {
            return;
        }
        long sentNanos = mContext.now();
        mProbes.read(address.get(), PROBE_TIMEOUT_MILLIS)
                .whenComplete(
                        (state, failure) ->
                                mContext.loop()
                                        .run(
                                                "probe",
                                                () ->
                                                        onProbeAnswer(
                                                                group, server, state, sentNanos)));
    }

    private void onProbeAnswer(
            MonitoredGroup group,
            ServerId server,
            org.plantainferry.network.target.ServerState state,
            long sentNanos) {
        long now = mContext.now();
        if (state == null || !state.server().equals(server)) {
            group.mUnreachable.add(server);
            group.mMonitor.onProbeFailure(server, now);
            return;
        }
        ServerRole role = state.role();
        ServerProbeResult probeResult =
                new ServerProbeResult(
                        server,
                        role,
                        state.term(),
                        state.position(),
                        state.primaryContactAgeMillis().orElse(NO_CONTACT_AGE_MILLIS),
                        state.leaving());
        ServerObservation observation = ServerObservations.fromState(state);
        group.mObservations.put(server, observation);
        group.mUnreachable.remove(server);
        mDispatchers.observe(group.mService.name(), observation);
        execute(group, group.mMonitor.onProbeAnswer(probeResult, sentNanos, now));
    }

    private void requestOpinion(MonitoredGroup group, GroupMonitorAction.RequestOpinion request) {
        Optional<String> address = mFleet.membership().peerAddress(request.instance());
        if (address.isEmpty()) {
            return;
        }
        PeerMessage message =
                PeerMessage.newBuilder()
                        .setProbeOpinionRequest(
                                ProbeOpinionRequest.newBuilder()
                                        .setService(group.mService.name().value())
                                        .setServer(request.server().value()))
                        .build();
        mPeers.call(address.get(), message, OPINION_TIMEOUT_MILLIS)
                .whenComplete(
                        (answer, failure) ->
                                mContext.loop()
                                        .run("opinion", () -> onOpinion(group, request, answer)));
    }

    private void onOpinion(
            MonitoredGroup group, GroupMonitorAction.RequestOpinion request, PeerMessage answer) {
        if (answer == null || !answer.hasProbeOpinionAnswer()) {
            return;
        }
        ProbeOpinionAnswer opinion = answer.getProbeOpinionAnswer();
        ProbeOpinion probeOpinion =
                new ProbeOpinion(opinion.getKnown(), opinion.getLastAnswerAgeMillis());
        execute(
                group,
                group.mMonitor.onOpinion(
                        request.instance(), request.server(), probeOpinion, mContext.now()));
    }

    /** Answers the request of another group monitor for an opinion on a server. */
    ProbeOpinionAnswer answerOpinionRequest(ProbeOpinionRequest request) {
        MonitoredGroup group = mMonitoredGroups.get(new ServiceName(request.getService()));
        if (group == null) {
            return ProbeOpinionAnswer.getDefaultInstance();
        }
        ProbeOpinion opinion =
                group.mMonitor.answerOpinionRequest(
                        new ServerId(request.getServer()), mContext.now());
        return ProbeOpinionAnswer.newBuilder()
                .setKnown(opinion.known())
                .setLastAnswerAgeMillis(opinion.silenceMillis())
                .build();
    }

    private void fence(MonitoredGroup group, GroupMonitorAction.Fence fence) {
        Optional<String> address = address(group, fence.server());
        if (address.isEmpty()) {
            return;
        }
        LogEvent.PRIMARY_FENCING.log(group.mService.name(), fence.server(), fence.term());
        mProbes.call(
                        address.get(),
                        TargetProtocol.fence(fence.term(), fence.proposer()),
                        PROPOSAL_TIMEOUT_MILLIS,
                        TargetProtocol::readFenceResult)
                .whenComplete(
                        (result, failure) ->
                                mContext.loop()
                                        .run("fence", () -> onFenceAnswer(group, fence, result)));
    }

    private void onFenceAnswer(
            MonitoredGroup group, GroupMonitorAction.Fence fence, FenceResult result) {
        if (result == null) {
            return;
        }
        FenceAnswer answer =
                result.granted()
                        ? new FenceAnswer.Granted(
                                new LogPosition(
                                        result.lastTerm().orElse(0L), result.position().orElse(0L)))
                        : new FenceAnswer.Refused(result.term().orElse(fence.term()));
        execute(
                group,
                group.mMonitor.onFenceAnswer(fence.server(), fence.term(), answer, mContext.now()));
    }

    private void promote(MonitoredGroup group, GroupMonitorAction.Promote promote) {
        Optional<String> address = address(group, promote.server());
        if (address.isEmpty()) {
            return;
        }
        mProbes.call(
                        address.get(),
                        TargetProtocol.promote(promote.term(), promote.proposer()),
                        PROPOSAL_TIMEOUT_MILLIS,
                        TargetProtocol::readPromotionResult)
                .whenComplete(
                        (result, failure) ->
                                mContext.loop()
                                        .run(
                                                "promote",
                                                () -> onPromoteAnswer(group, promote, result)));
    }

    private void onPromoteAnswer(
            MonitoredGroup group, GroupMonitorAction.Promote promote, PromotionResult result) {
        if (result == null) {
            return;
        }
        PromoteAnswer answer =
                new PromoteAnswer(result.promoted(), result.term().orElse(promote.term()));
        execute(
                group,
                group.mMonitor.onPromoteAnswer(
                        promote.server(), promote.term(), answer, mContext.now()));
    }

    private void announce(MonitoredGroup group, GroupMonitorAction.Announce announce) {
        updatePrimary(group, announce.term(), Optional.of(announce.primary()));
        if (announce.elected()) {
            writeGroupRecord(group, announce);
        }
    }

    /**
     * Records the primary in the store for instances that start later.
     *
     * <p>A failed write is ignored, because peers and traffic do not depend on the record.
     */
    private void writeGroupRecord(MonitoredGroup group, GroupMonitorAction.Announce announce) {
        String path = GROUPS_PREFIX + group.mService.name();
        String value = Json.write(new GroupRecord(announce.term(), announce.primary()));
        mContext.store()
                .get(path)
                .thenCompose(
                        found ->
                                mContext.store()
                                        .put(
                                                path,
                                                value,
                                                found.map(
                                                                record ->
                                                                        WriteCondition.atVersion(
                                                                                record.version()))
                                                        .orElse(WriteCondition.ABSENT)))
                .exceptionally(failure -> Optional.empty());
    }

    private void updatePrimary(MonitoredGroup group, long term, Optional<ServerId> primary) {
        if (term < group.mTerm || (term == group.mTerm && group.mPrimary.isPresent())) {
            return;
        }
        group.mTerm = term;
        group.mPrimary = primary;
        group.mTermChangedNanos = mContext.now();
        primary.ifPresent(
                server -> LogEvent.PRIMARY_CHANGED.log(group.mService.name(), server, term));
        mDispatchers.learnPrimary(group.mService.name(), term, primary);
    }

    /** Handles a term, and its primary if known, from traffic, a heartbeat or the store. */
    void onTerm(ServiceName service, long term, Optional<ServerId> primary) {
        MonitoredGroup group = mMonitoredGroups.get(service);
        if (group == null) {
            return;
        }
        updatePrimary(group, term, primary);
        execute(group, group.mMonitor.onTerm(term, primary, mContext.now()));
    }

    /** Passes the failure of a statement without an answer on to the group monitor. */
    void onStatementFailure(ServiceName service, ServerId server) {
        MonitoredGroup group = mMonitoredGroups.get(service);
        if (group != null) {
            group.mMonitor.onStatementFailure(server, mContext.now());
        }
    }

    /** Returns some of the terms that changed recently, which heartbeats announce to peers. */
    List<GroupTerm> recentTerms() {
        long now = mContext.now();
        List<GroupTerm> recent = new ArrayList<>();
        for (MonitoredGroup group : mMonitoredGroups.values()) {
            boolean isRecent =
                    group.mTerm > 0 && now - group.mTermChangedNanos < RECENT_TERM_AGE_NANOS;
            if (isRecent && recent.size() < MAX_RECENT_TERMS) {
                recent.add(new GroupTerm(group.mService.name(), group.mTerm, group.mPrimary));
            }
        }
        return recent;
    }

    /** Holds the state of a group that the status page shows. */
    record GroupStatus(
            ServiceName service,
            long term,
            Optional<ServerId> primary,
            List<ProbedServer> servers) {}

    /** Holds the last observation of a server and whether the server answered its last probe. */
    record ProbedServer(ServerObservation observation, boolean reachable) {}

    List<GroupStatus> status() {
        List<GroupStatus> statuses = new ArrayList<>();
        for (MonitoredGroup group : mMonitoredGroups.values()) {
            statuses.add(
                    new GroupStatus(
                            group.mService.name(),
                            group.mTerm,
                            group.mPrimary,
                            group.mObservations.values().stream()
                                    .map(
                                            observation ->
                                                    new ProbedServer(
                                                            observation,
                                                            group.isReachable(observation)))
                                    .toList()));
        }
        return statuses;
    }

    /** Defines the JSON form of the record of a primary in the store. */
    record GroupRecord(long term, ServerId primary) {}
}
