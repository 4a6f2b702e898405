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

/** Carries out what the guardians of the groups decide. */
final class GroupMonitorController {
    private static final long TICK_INTERVAL_MILLIS = 25;
    private static final long PROBE_TIMEOUT_MILLIS = 600;
    private static final long PROPOSAL_TIMEOUT_MILLIS = 500;
    private static final long OPINION_TIMEOUT_MILLIS = 300;
    private static final int MONITORS_PER_GROUP = 3;
    private static final long NO_CONTACT_AGE_MILLIS = TimeUnit.DAYS.toMillis(1);
    private static final long RECENT_TERM_AGE_NANOS = TimeUnit.SECONDS.toNanos(30);
    // Keeps a heartbeat below 600 bytes.
    private static final int MAX_RECENT_TERMS = 4;
    private static final String GROUPS_PREFIX = "groups/";

    private final ControlContext mContext;
    private final FleetState mFleet;
    private final PeerTransport mPeers;
    private final ProbeConnectionPool mProbes;
    private final ServiceDispatcherRegistry mDispatchers;
    private final Map<ServiceName, MonitoredGroup> mMonitoredGroups = new HashMap<>();
    private long mMembershipVersion = -1;

    /** Joins a guardian with what the shell knows of its group. */
    private static final class MonitoredGroup {
        private final GroupMonitor mMonitor;
        private final Service mService;
        private final Map<ServerId, ServerObservation> mObservations = new HashMap<>();
        private final Set<ServerId> mUnreachable = new HashSet<>();
        private long mTermChangedNanos;
        private long mTerm;
        private Optional<ServerId> mPrimary = Optional.empty();

        MonitoredGroup(GroupMonitor guardian, Service service) {
            mMonitor = guardian;
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
            ServiceDispatcherRegistry lanes) {
        mContext = context;
        mFleet = fleet;
        mPeers = peers;
        mProbes = probes;
        mDispatchers = lanes;
    }

    void start() {
        mContext.loop().runEvery("guardians", TICK_INTERVAL_MILLIS, this::tick);
    }

    /** Takes over the services of a new configuration. */
    void onConfiguration() {
        Map<ServiceName, MonitoredGroup> previous = new HashMap<>(mMonitoredGroups);
        mMonitoredGroups.clear();
        String proposer = mFleet.self().id() + "." + mContext.incarnation();
        for (Service service : mFleet.configuration().parts().services()) {
            MonitoredGroup known = previous.get(service.name());
            if (known != null && known.mService.servers().equals(service.servers())) {
                mMonitoredGroups.put(service.name(), known);
                continue;
            }
            List<ServerId> servers = service.servers().stream().map(TargetServer::id).toList();
            GroupMonitor guardian =
                    new GroupMonitor(mFleet.self().id(), proposer, servers, mContext.now());
            mMonitoredGroups.put(service.name(), new MonitoredGroup(guardian, service));
        }
        mMembershipVersion = -1;
    }

    private void tick() {
        long now = mContext.now();
        if (mMembershipVersion != mFleet.membership().snapshot().version()) {
            mMembershipVersion = mFleet.membership().snapshot().version();
            mMonitoredGroups.forEach(
                    (name, watched) ->
                            watched.mMonitor.onMonitors(
                                    mFleet.rendezvousHash()
                                            .rankAcrossDomains(name.value(), MONITORS_PER_GROUP),
                                    now));
        }
        for (MonitoredGroup watched : mMonitoredGroups.values()) {
            if (watched.mMonitor.rank().isPresent()) {
                execute(watched, watched.mMonitor.tick(now));
            }
        }
    }

    private void execute(MonitoredGroup watched, List<GroupMonitorAction> actions) {
        for (GroupMonitorAction action : actions) {
            if (action instanceof GroupMonitorAction.Probe probe) {
                probe(watched, probe.server());
            } else if (action instanceof GroupMonitorAction.RequestOpinion ask) {
                requestOpinion(watched, ask);
            } else if (action instanceof GroupMonitorAction.Fence fence) {
                fence(watched, fence);
            } else if (action instanceof GroupMonitorAction.Promote promote) {
                promote(watched, promote);
            } else if (action instanceof GroupMonitorAction.Announce announce) {
                announce(watched, announce);
            }
        }
    }

    private static Optional<String> address(MonitoredGroup watched, ServerId server) {
        return watched.mService.servers().stream()
                .filter(each -> each.id().equals(server))
                .map(TargetServer::address)
                .findFirst();
    }

    private void probe(MonitoredGroup watched, ServerId server) {
        Optional<String> address = address(watched, server);
        if (address.isEmpty()) {
            return;
        }
        long sent = mContext.now();
        mProbes.read(address.get(), PROBE_TIMEOUT_MILLIS)
                .whenComplete(
                        (state, failure) ->
                                mContext.loop()
                                        .run(
                                                "probe",
                                                () -> onProbeAnswer(watched, server, state, sent)));
    }

    private void onProbeAnswer(
            MonitoredGroup watched,
            ServerId server,
            org.plantainferry.network.target.ServerState state,
            long sent) {
        long now = mContext.now();
        if (state == null || !state.server().equals(server)) {
            watched.mUnreachable.add(server);
            watched.mMonitor.onProbeFailure(server, now);
            return;
        }
        ServerRole role = state.role();
        ServerProbeResult seen =
                new ServerProbeResult(
                        server,
                        role,
                        state.term(),
                        state.position(),
                        state.primaryContactAgeMillis().orElse(NO_CONTACT_AGE_MILLIS),
                        state.leaving());
        ServerObservation observation = ServerObservations.fromState(state);
        watched.mObservations.put(server, observation);
        watched.mUnreachable.remove(server);
        mDispatchers.observe(watched.mService.name(), observation);
        execute(watched, watched.mMonitor.onProbeAnswer(seen, sent, now));
    }

    private void requestOpinion(MonitoredGroup watched, GroupMonitorAction.RequestOpinion ask) {
        Optional<String> address = mFleet.membership().peerAddress(ask.instance());
        if (address.isEmpty()) {
            return;
        }
        PeerMessage request =
                PeerMessage.newBuilder()
                        .setProbeOpinionRequest(
                                ProbeOpinionRequest.newBuilder()
                                        .setService(watched.mService.name().value())
                                        .setServer(ask.server().value()))
                        .build();
        mPeers.call(address.get(), request, OPINION_TIMEOUT_MILLIS)
                .whenComplete(
                        (answer, failure) ->
                                mContext.loop()
                                        .run("opinion", () -> onOpinion(watched, ask, answer)));
    }

    private void onOpinion(
            MonitoredGroup watched, GroupMonitorAction.RequestOpinion ask, PeerMessage answer) {
        if (answer == null || !answer.hasProbeOpinionAnswer()) {
            return;
        }
        ProbeOpinionAnswer opinion = answer.getProbeOpinionAnswer();
        ProbeOpinion given = new ProbeOpinion(opinion.getKnown(), opinion.getLastAnswerAgeMillis());
        execute(
                watched,
                watched.mMonitor.onOpinion(ask.instance(), ask.server(), given, mContext.now()));
    }

    /** Answers the question of another guardian. */
    ProbeOpinionAnswer answerOpinionRequest(ProbeOpinionRequest request) {
        MonitoredGroup watched = mMonitoredGroups.get(new ServiceName(request.getService()));
        if (watched == null) {
            return ProbeOpinionAnswer.getDefaultInstance();
        }
        ProbeOpinion opinion =
                watched.mMonitor.answerOpinionRequest(
                        new ServerId(request.getServer()), mContext.now());
        return ProbeOpinionAnswer.newBuilder()
                .setKnown(opinion.known())
                .setLastAnswerAgeMillis(opinion.silenceMillis())
                .build();
    }

    private void fence(MonitoredGroup watched, GroupMonitorAction.Fence fence) {
        Optional<String> address = address(watched, fence.server());
        if (address.isEmpty()) {
            return;
        }
        LogEvent.PRIMARY_FENCING.log(watched.mService.name(), fence.server(), fence.term());
        mProbes.call(
                        address.get(),
                        TargetProtocol.fence(fence.term(), fence.proposer()),
                        PROPOSAL_TIMEOUT_MILLIS,
                        TargetProtocol::readFenceResult)
                .whenComplete(
                        (result, failure) ->
                                mContext.loop()
                                        .run("fence", () -> onFenceAnswer(watched, fence, result)));
    }

    private void onFenceAnswer(
            MonitoredGroup watched, GroupMonitorAction.Fence fence, FenceResult result) {
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
                watched,
                watched.mMonitor.onFenceAnswer(
                        fence.server(), fence.term(), answer, mContext.now()));
    }

    private void promote(MonitoredGroup watched, GroupMonitorAction.Promote promote) {
        Optional<String> address = address(watched, promote.server());
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
                                                () -> onPromoteAnswer(watched, promote, result)));
    }

    private void onPromoteAnswer(
            MonitoredGroup watched, GroupMonitorAction.Promote promote, PromotionResult result) {
        if (result == null) {
            return;
        }
        PromoteAnswer answer =
                new PromoteAnswer(result.promoted(), result.term().orElse(promote.term()));
        execute(
                watched,
                watched.mMonitor.onPromoteAnswer(
                        promote.server(), promote.term(), answer, mContext.now()));
    }

    private void announce(MonitoredGroup watched, GroupMonitorAction.Announce announce) {
        updatePrimary(watched, announce.term(), Optional.of(announce.primary()));
        if (announce.elected()) {
            writeGroupRecord(watched, announce);
        }
    }

    /** Writes the hint for instances that start later; peers and traffic do not depend on it. */
    private void writeGroupRecord(MonitoredGroup watched, GroupMonitorAction.Announce announce) {
        String path = GROUPS_PREFIX + watched.mService.name();
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
                                                                each ->
                                                                        WriteCondition.atVersion(
                                                                                each.version()))
                                                        .orElse(WriteCondition.ABSENT)))
                .exceptionally(failure -> Optional.empty());
    }

    private void updatePrimary(MonitoredGroup watched, long term, Optional<ServerId> primary) {
        if (term < watched.mTerm || (term == watched.mTerm && watched.mPrimary.isPresent())) {
            return;
        }
        watched.mTerm = term;
        watched.mPrimary = primary;
        watched.mTermChangedNanos = mContext.now();
        primary.ifPresent(
                server -> LogEvent.PRIMARY_CHANGED.log(watched.mService.name(), server, term));
        mDispatchers.learnPrimary(watched.mService.name(), term, primary);
    }

    /** Takes in a term from traffic, a heartbeat or the store. */
    void onTerm(ServiceName service, long term, Optional<ServerId> primary) {
        MonitoredGroup watched = mMonitoredGroups.get(service);
        if (watched == null) {
            return;
        }
        updatePrimary(watched, term, primary);
        execute(watched, watched.mMonitor.onTerm(term, primary, mContext.now()));
    }

    void onStatementFailure(ServiceName service, ServerId server) {
        MonitoredGroup watched = mMonitoredGroups.get(service);
        if (watched != null) {
            watched.mMonitor.onStatementFailure(server, mContext.now());
        }
    }

    /** Returns the terms that changed lately, for heartbeats. */
    List<GroupTerm> recentTerms() {
        long now = mContext.now();
        List<GroupTerm> recent = new ArrayList<>();
        for (MonitoredGroup watched : mMonitoredGroups.values()) {
            boolean isRecent =
                    watched.mTerm > 0 && now - watched.mTermChangedNanos < RECENT_TERM_AGE_NANOS;
            if (isRecent && recent.size() < MAX_RECENT_TERMS) {
                recent.add(new GroupTerm(watched.mService.name(), watched.mTerm, watched.mPrimary));
            }
        }
        return recent;
    }

    /** Describes what is known of a group, for the status. */
    record GroupStatus(
            ServiceName service,
            long term,
            Optional<ServerId> primary,
            List<ProbedServer> servers) {}

    /** Joins what a server said last with whether it answered its last probe. */
    record ProbedServer(ServerObservation observation, boolean reachable) {}

    List<GroupStatus> status() {
        List<GroupStatus> all = new ArrayList<>();
        for (MonitoredGroup watched : mMonitoredGroups.values()) {
            all.add(
                    new GroupStatus(
                            watched.mService.name(),
                            watched.mTerm,
                            watched.mPrimary,
                            watched.mObservations.values().stream()
                                    .map(each -> new ProbedServer(each, watched.isReachable(each)))
                                    .toList()));
        }
        return all;
    }

    /** Gives the form of the store's record of a primary. */
    record GroupRecord(long term, ServerId primary) {}
}
