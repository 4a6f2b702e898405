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
import org.plantainferry.engine.replacement.GroupGuardian;
import org.plantainferry.engine.replacement.GuardianAction;
import org.plantainferry.engine.replacement.ProbeOpinion;
import org.plantainferry.engine.replacement.PromoteAnswer;
import org.plantainferry.engine.replacement.ServerState;
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
    private static final long TICK_MILLIS = 25;
    private static final long PROBE_TIMEOUT_MILLIS = 600;
    private static final long PROPOSAL_TIMEOUT_MILLIS = 500;
    private static final long OPINION_TIMEOUT_MILLIS = 300;
    private static final int GUARDIANS = 3;
    private static final long NEVER_MILLIS = TimeUnit.DAYS.toMillis(1);
    private static final long RECENT_NANOS = TimeUnit.SECONDS.toNanos(30);
    // Keeps a heartbeat below 600 bytes.
    private static final int RECENT_LIMIT = 4;
    private static final String GROUPS = "groups/";

    private final ControlContext mContext;
    private final FleetState mFleet;
    private final PeerTransport mPeers;
    private final ProbeConnectionPool mProbes;
    private final ServiceDispatcherRegistry mLanes;
    private final Map<ServiceName, MonitoredGroup> mWatched = new HashMap<>();
    private long mMembershipVersion = -1;

    /** Joins a guardian with what the shell knows of its group. */
    private static final class MonitoredGroup {
        private final GroupGuardian mGuardian;
        private final Service mService;
        private final Map<ServerId, ServerObservation> mObserved = new HashMap<>();
        private final Set<ServerId> mSilent = new HashSet<>();
        private long mChangedNanos;
        private long mTerm;
        private Optional<ServerId> mPrimary = Optional.empty();

        MonitoredGroup(GroupGuardian guardian, Service service) {
            mGuardian = guardian;
            mService = service;
        }

        boolean answers(ServerObservation observation) {
            return !mSilent.contains(observation.server());
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
        mLanes = lanes;
    }

    void start() {
        mContext.loop().runEvery("guardians", TICK_MILLIS, this::tick);
    }

    /** Takes over the services of a new configuration. */
    void onConfiguration() {
        Map<ServiceName, MonitoredGroup> previous = new HashMap<>(mWatched);
        mWatched.clear();
        String proposer = mFleet.self().id() + "." + mContext.incarnation();
        for (Service service : mFleet.configuration().parts().services()) {
            MonitoredGroup known = previous.get(service.name());
            if (known != null && known.mService.servers().equals(service.servers())) {
                mWatched.put(service.name(), known);
                continue;
            }
            List<ServerId> servers = service.servers().stream().map(TargetServer::id).toList();
            GroupGuardian guardian =
                    new GroupGuardian(mFleet.self().id(), proposer, servers, mContext.now());
            mWatched.put(service.name(), new MonitoredGroup(guardian, service));
        }
        mMembershipVersion = -1;
    }

    private void tick() {
        long now = mContext.now();
        if (mMembershipVersion != mFleet.membership().snapshot().version()) {
            mMembershipVersion = mFleet.membership().snapshot().version();
            mWatched.forEach(
                    (name, watched) ->
                            watched.mGuardian.onGuardians(
                                    mFleet.hash().rankAcrossDomains(name.value(), GUARDIANS), now));
        }
        for (MonitoredGroup watched : mWatched.values()) {
            if (watched.mGuardian.rank().isPresent()) {
                carryOut(watched, watched.mGuardian.tick(now));
            }
        }
    }

    private void carryOut(MonitoredGroup watched, List<GuardianAction> actions) {
        for (GuardianAction action : actions) {
            if (action instanceof GuardianAction.Probe probe) {
                probe(watched, probe.server());
            } else if (action instanceof GuardianAction.AskOpinion ask) {
                ask(watched, ask);
            } else if (action instanceof GuardianAction.Fence fence) {
                fence(watched, fence);
            } else if (action instanceof GuardianAction.Promote promote) {
                promote(watched, promote);
            } else if (action instanceof GuardianAction.Announce announce) {
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
                                        .run("probe", () -> onProbe(watched, server, state, sent)));
    }

    private void onProbe(
            MonitoredGroup watched,
            ServerId server,
            org.plantainferry.network.target.ServerState state,
            long sent) {
        long now = mContext.now();
        if (state == null || !state.server().equals(server)) {
            watched.mSilent.add(server);
            watched.mGuardian.onProbeFailure(server, now);
            return;
        }
        ServerRole role = state.role();
        ServerState seen =
                new ServerState(
                        server,
                        role,
                        state.term(),
                        state.position(),
                        state.primaryContactAgeMillis().orElse(NEVER_MILLIS),
                        state.leaving());
        ServerObservation observation = ServerObservations.fromState(state);
        watched.mObserved.put(server, observation);
        watched.mSilent.remove(server);
        mLanes.observe(watched.mService.name(), observation);
        carryOut(watched, watched.mGuardian.onProbeAnswer(seen, sent, now));
    }

    private void ask(MonitoredGroup watched, GuardianAction.AskOpinion ask) {
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
            MonitoredGroup watched, GuardianAction.AskOpinion ask, PeerMessage answer) {
        if (answer == null || !answer.hasProbeOpinionAnswer()) {
            return;
        }
        ProbeOpinionAnswer opinion = answer.getProbeOpinionAnswer();
        ProbeOpinion given = new ProbeOpinion(opinion.getKnown(), opinion.getLastAnswerAgeMillis());
        carryOut(
                watched,
                watched.mGuardian.onOpinion(ask.instance(), ask.server(), given, mContext.now()));
    }

    /** Answers the question of another guardian. */
    ProbeOpinionAnswer opinion(ProbeOpinionRequest request) {
        MonitoredGroup watched = mWatched.get(new ServiceName(request.getService()));
        if (watched == null) {
            return ProbeOpinionAnswer.getDefaultInstance();
        }
        ProbeOpinion opinion =
                watched.mGuardian.opinion(new ServerId(request.getServer()), mContext.now());
        return ProbeOpinionAnswer.newBuilder()
                .setKnown(opinion.known())
                .setLastAnswerAgeMillis(opinion.silenceMillis())
                .build();
    }

    private void fence(MonitoredGroup watched, GuardianAction.Fence fence) {
        Optional<String> address = address(watched, fence.server());
        if (address.isEmpty()) {
            return;
        }
        LogEvent.PRIMARY_FENCING.log(watched.mService.name(), fence.server(), fence.term());
        mProbes.call(
                        address.get(),
                        TargetProtocol.fence(fence.term(), fence.proposer()),
                        PROPOSAL_TIMEOUT_MILLIS,
                        TargetProtocol::readFence)
                .whenComplete(
                        (result, failure) ->
                                mContext.loop()
                                        .run("fence", () -> onFence(watched, fence, result)));
    }

    private void onFence(MonitoredGroup watched, GuardianAction.Fence fence, FenceResult result) {
        if (result == null) {
            return;
        }
        FenceAnswer answer =
                result.granted()
                        ? new FenceAnswer.Granted(
                                new LogPosition(
                                        result.lastTerm().orElse(0L), result.position().orElse(0L)))
                        : new FenceAnswer.Refused(result.term().orElse(fence.term()));
        carryOut(
                watched,
                watched.mGuardian.onFenceAnswer(
                        fence.server(), fence.term(), answer, mContext.now()));
    }

    private void promote(MonitoredGroup watched, GuardianAction.Promote promote) {
        Optional<String> address = address(watched, promote.server());
        if (address.isEmpty()) {
            return;
        }
        mProbes.call(
                        address.get(),
                        TargetProtocol.promote(promote.term(), promote.proposer()),
                        PROPOSAL_TIMEOUT_MILLIS,
                        TargetProtocol::readPromotion)
                .whenComplete(
                        (result, failure) ->
                                mContext.loop()
                                        .run("promote", () -> onPromote(watched, promote, result)));
    }

    private void onPromote(
            MonitoredGroup watched, GuardianAction.Promote promote, PromotionResult result) {
        if (result == null) {
            return;
        }
        PromoteAnswer answer =
                new PromoteAnswer(result.promoted(), result.term().orElse(promote.term()));
        carryOut(
                watched,
                watched.mGuardian.onPromoteAnswer(
                        promote.server(), promote.term(), answer, mContext.now()));
    }

    private void announce(MonitoredGroup watched, GuardianAction.Announce announce) {
        learn(watched, announce.term(), Optional.of(announce.primary()));
        if (announce.elected()) {
            writeRecord(watched, announce);
        }
    }

    /** Writes the hint for instances that start later; peers and traffic do not depend on it. */
    private void writeRecord(MonitoredGroup watched, GuardianAction.Announce announce) {
        String path = GROUPS + watched.mService.name();
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

    private void learn(MonitoredGroup watched, long term, Optional<ServerId> primary) {
        if (term < watched.mTerm || (term == watched.mTerm && watched.mPrimary.isPresent())) {
            return;
        }
        watched.mTerm = term;
        watched.mPrimary = primary;
        watched.mChangedNanos = mContext.now();
        primary.ifPresent(
                server -> LogEvent.PRIMARY_CHANGED.log(watched.mService.name(), server, term));
        mLanes.learnPrimary(watched.mService.name(), term, primary);
    }

    /** Takes in a term from traffic, a heartbeat or the store. */
    void onTerm(ServiceName service, long term, Optional<ServerId> primary) {
        MonitoredGroup watched = mWatched.get(service);
        if (watched == null) {
            return;
        }
        learn(watched, term, primary);
        carryOut(watched, watched.mGuardian.onTerm(term, primary, mContext.now()));
    }

    void onStatementFailure(ServiceName service, ServerId server) {
        MonitoredGroup watched = mWatched.get(service);
        if (watched != null) {
            watched.mGuardian.onStatementFailure(server, mContext.now());
        }
    }

    /** Returns the terms that changed lately, for heartbeats. */
    List<GroupTerm> recentTerms() {
        long now = mContext.now();
        List<GroupTerm> recent = new ArrayList<>();
        for (MonitoredGroup watched : mWatched.values()) {
            boolean isRecent = watched.mTerm > 0 && now - watched.mChangedNanos < RECENT_NANOS;
            if (isRecent && recent.size() < RECENT_LIMIT) {
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
        for (MonitoredGroup watched : mWatched.values()) {
            all.add(
                    new GroupStatus(
                            watched.mService.name(),
                            watched.mTerm,
                            watched.mPrimary,
                            watched.mObserved.values().stream()
                                    .map(each -> new ProbedServer(each, watched.answers(each)))
                                    .toList()));
        }
        return all;
    }

    /** Gives the form of the store's record of a primary. */
    record GroupRecord(long term, ServerId primary) {}
}
