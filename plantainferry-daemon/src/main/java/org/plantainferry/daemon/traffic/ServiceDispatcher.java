package org.plantainferry.daemon.traffic;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.StatementKind;
import org.plantainferry.api.Verdict;
import org.plantainferry.api.configuration.Service;
import org.plantainferry.api.configuration.TargetServer;
import org.plantainferry.api.configuration.Workspace;
import org.plantainferry.engine.configuration.KeyReference;
import org.plantainferry.engine.connection.ConnectionShare;
import org.plantainferry.engine.retry.FailureCause;
import org.plantainferry.engine.retry.RetryBudget;
import org.plantainferry.engine.retry.RetryDecision;
import org.plantainferry.engine.retry.RetryPolicy;
import org.plantainferry.engine.routing.GroupView;
import org.plantainferry.engine.routing.ReadPolicy;
import org.plantainferry.engine.routing.RoutingDecision;
import org.plantainferry.engine.routing.ServerLoad;
import org.plantainferry.engine.routing.ServerObservation;
import org.plantainferry.engine.routing.WriteRouter;
import org.plantainferry.network.target.TargetConnection;
import org.plantainferry.network.target.TargetConnector;

/**
 * Carries all requests of one service; owned by one event loop, so it needs no locks.
 *
 * <p>Each request is routed to a server, queued there, sent, and repeated where that is safe.
 */
final class ServiceDispatcher implements ServerRequestQueue.Handler, ServerLoad {
    /** A caller that comes back after this time meets another state of the group. */
    private static final long RETRY_AFTER_MILLIS = 250;

    private static final long PROBE_TIMEOUT_MILLIS = 500;

    private final EventLoop mLoop;
    private final TargetConnector mConnector;
    private final UniformRandomProvider mRandom;
    private final LongSupplier mClock;
    private final ReadPolicy mReadPolicy;
    private final WriteRouter mWriteRouter = new WriteRouter();
    private final RetryBudget mBudget;
    private final RetryPolicy mRetryPolicy;
    private final CallerAuthenticator mAuthority;
    private final TrafficListener mEvents;
    private final StatementSender mSender;
    private final ServerStateReader mStates;
    private final Map<ServerId, ServerRequestQueue> mServers = new LinkedHashMap<>();
    private final List<PendingRequest> mWaitingForPrimary = new ArrayList<>();
    private final GroupView mView;
    private Service mService;

    ServiceDispatcher(
            Service service,
            EventLoop loop,
            TargetConnector connector,
            ReadPolicy readPolicy,
            UniformRandomProvider random,
            LongSupplier clock,
            CallerAuthenticator authority,
            TrafficListener events,
            ServerStateReader states,
            TransactionRegistry transactions,
            CallerAnswerFactory answers) {
        mService = service;
        mLoop = loop;
        mConnector = connector;
        mReadPolicy = readPolicy;
        mRandom = random;
        mClock = clock;
        mAuthority = authority;
        mEvents = events;
        mStates = states;
        mView = new GroupView(service);
        mBudget = new RetryBudget(clock.getAsLong());
        mRetryPolicy = new RetryPolicy(mBudget, random);
        AcknowledgementCheck check = new AcknowledgementCheck(loop, states, clock);
        mSender = new StatementSender(this, loop, clock, check, transactions, answers);
    }

    Service service() {
        return mService;
    }

    GroupView view() {
        return mView;
    }

    EventLoop loop() {
        return mLoop;
    }

    TrafficListener events() {
        return mEvents;
    }

    CallerAuthenticator authority() {
        return mAuthority;
    }

    StatementSender sender() {
        return mSender;
    }

    @Override
    public int inFlight(ServerId server) {
        ServerRequestQueue lane = mServers.get(server);
        return lane == null ? 0 : lane.load();
    }

    @Override
    public boolean hasRoom(ServerId server) {
        ServerRequestQueue lane = mServers.get(server);
        return lane != null && lane.hasRoom();
    }

    Optional<ServerRequestQueue> server(ServerId id) {
        return Optional.ofNullable(mServers.get(id));
    }

    /**
     * Takes over a new configuration.
     *
     * @param instances the number of instances that use the service
     */
    void configure(Service service, int instances, List<Workspace> workspaces) {
        mService = service;
        mView.update(service);
        ConnectionShare share = ConnectionShare.of(service.connectionLimit(), instances);
        for (TargetServer target : service.servers()) {
            ServerRequestQueue lane =
                    mServers.computeIfAbsent(target.id(), id -> newServer(target, share));
            lane.setAddress(target.address());
            lane.pool().resize(share);
            workspaces.forEach(each -> lane.setWeight(each.name(), each.effectiveWeight()));
        }
        removeServers(service.servers().stream().map(TargetServer::id).toList());
    }

    private void removeServers(List<ServerId> kept) {
        List<ServerId> gone =
                mServers.keySet().stream().filter(each -> !kept.contains(each)).toList();
        for (ServerId id : gone) {
            ServerRequestQueue lane = mServers.remove(id);
            lane.evictAll();
            reroute(lane, lane.removeIf(each -> true), "the server was withdrawn");
        }
    }

    /** Ends everything that waits here, because the service was withdrawn. */
    void retire() {
        for (ServerRequestQueue lane : mServers.values()) {
            for (PendingRequest request : lane.removeIf(each -> true)) {
                request.fail(ErrorCode.NOT_FOUND, "the service was withdrawn", 0);
            }
            lane.evictAll();
        }
        mServers.clear();
    }

    private ServerRequestQueue newServer(TargetServer target, ConnectionShare share) {
        return new ServerRequestQueue(
                target.id(),
                target.address(),
                mService.slots(),
                share,
                mLoop,
                mConnector,
                mRandom,
                mClock,
                this);
    }

    /** Starts a request; its answer completes the request's future. */
    void submit(PendingRequest request) {
        mBudget.onRequest(mClock.getAsLong());
        route(request);
    }

    /** Ends what requests of withdrawn keys still wait for. */
    void withdraw(Set<KeyReference> keys) {
        for (ServerRequestQueue lane : mServers.values()) {
            for (PendingRequest request : lane.removeIf(each -> isOf(each, keys))) {
                request.fail(ErrorCode.KEY_INVALID, "the key was withdrawn", 0);
            }
        }
    }

    private static boolean isOf(PendingRequest request, Set<KeyReference> keys) {
        return request.request()
                .keyId()
                .map(id -> keys.contains(new KeyReference(request.request().workspace(), id)))
                .orElse(false);
    }

    /**
     * Asks the servers that traffic cannot use for their states, since no answer of theirs to a
     * statement would show that they have recovered.
     */
    void probeUnusable() {
        for (ServerId id : mView.takeDueStateProbes(mClock.getAsLong())) {
            mService.servers().stream()
                    .filter(server -> server.id().equals(id))
                    .forEach(this::probe);
        }
    }

    private void probe(TargetServer server) {
        mStates.read(server.address(), PROBE_TIMEOUT_MILLIS)
                .whenCompleteAsync(
                        (state, failure) -> {
                            if (failure == null && state.server().equals(server.id())) {
                                observe(ServerObservations.fromState(state));
                            }
                        },
                        mLoop);
    }

    /** Takes over what a probe or an answer says of a server. */
    void observe(ServerObservation observation) {
        long termBefore = mView.term();
        Optional<ServerId> primaryBefore = mView.primary();
        mView.observe(observation, mClock.getAsLong());
        afterObservation(termBefore, primaryBefore);
    }

    /** Takes over the primary of a term. */
    void learnPrimary(long term, Optional<ServerId> primary) {
        long termBefore = mView.term();
        Optional<ServerId> primaryBefore = mView.primary();
        mView.learnPrimary(term, primary);
        afterObservation(termBefore, primaryBefore);
    }

    /** Reacts to a change of term or primary since the given ones. */
    void afterObservation(long termBefore, Optional<ServerId> primaryBefore) {
        boolean changed = mView.term() != termBefore || !mView.primary().equals(primaryBefore);
        if (!changed) {
            return;
        }
        mEvents.onTermObserved(mService.name(), mView.term(), mView.primary());
        if (mView.term() > termBefore) {
            mSender.abandonWritesOutside(mView.primary());
        }
        mView.primary()
                .map(mServers::get)
                .ifPresent(lane -> lane.pool().onPrimaryChange(mClock.getAsLong()));
        if (mView.primary().isPresent()) {
            List<PendingRequest> waiting = new ArrayList<>(mWaitingForPrimary);
            mWaitingForPrimary.clear();
            waiting.forEach(this::route);
        }
    }

    /** Finds the server for a request and queues it there. */
    void route(PendingRequest request) {
        request.setWaiting(false);
        if (request.isAnswered()) {
            return;
        }
        long now = mClock.getAsLong();
        if (request.remainingMillis(now) <= 0) {
            request.fail(ErrorCode.DEADLINE_EXCEEDED, "the deadline passed", 0);
            return;
        }
        try {
            mAuthority.verifyStillValid(request.request());
        } catch (PlantainferryException e) {
            request.fail(e);
            return;
        }
        follow(request, decide(request, now));
    }

    private RoutingDecision decide(PendingRequest request, long now) {
        boolean isRead =
                request.request().operation() == Operation.STATEMENT
                        && request.request().kind() == StatementKind.READ;
        if (isRead) {
            return mReadPolicy.choose(
                    request.readRequirement(), mView, this, request.excluded(), now);
        }
        return mWriteRouter.choose(request.writeRequirement(), mView, request.excluded(), now);
    }

    private void follow(PendingRequest request, RoutingDecision decision) {
        if (decision instanceof RoutingDecision.UseServer use) {
            request.setMinimumPosition(use.minimumPosition());
            enqueue(request, use.server());
        } else if (decision instanceof RoutingDecision.WaitForReplica wait) {
            routeLater(request, wait.delayNanos());
        } else if (decision instanceof RoutingDecision.WaitForPrimary wait) {
            mWaitingForPrimary.add(request);
            routeLater(request, wait.delayNanos());
        } else if (decision instanceof RoutingDecision.Unavailable unavailable) {
            request.fail(
                    ErrorCode.TARGET_UNAVAILABLE,
                    "no server of " + mService.name() + " can serve the request now",
                    unavailable.retryAfterMillis());
        }
    }

    private void enqueue(PendingRequest request, ServerId server) {
        ServerRequestQueue lane = mServers.get(server);
        if (lane == null) {
            request.fail(ErrorCode.TARGET_UNAVAILABLE, "the server was withdrawn", 0);
            return;
        }
        lane.offer(request);
    }

    private void routeLater(PendingRequest request, long delayNanos) {
        long startedNanos = mClock.getAsLong();
        request.setWaiting(true);
        mLoop.schedule(
                () -> {
                    mWaitingForPrimary.remove(request);
                    if (request.isWaiting()) {
                        request.addWait(mClock.getAsLong() - startedNanos);
                        request.forgetExcluded();
                        route(request);
                    }
                },
                delayNanos,
                TimeUnit.NANOSECONDS);
    }

    @Override
    public void send(ServerRequestQueue lane, PendingRequest request, TargetConnection connection) {
        mSender.send(lane, request, connection);
    }

    @Override
    public void reroute(ServerRequestQueue lane, List<PendingRequest> requests, String reason) {
        mView.observeFailure(lane.server(), mClock.getAsLong());
        mEvents.onStatementFailed(mService.name(), lane.server());
        for (PendingRequest request : requests) {
            request.countAttempt();
            retryOrFail(
                    request,
                    FailureCause.CONNECT_FAILED,
                    Verdict.NOT_RUN,
                    ErrorCode.TARGET_UNAVAILABLE,
                    "the server cannot be reached: " + reason);
        }
    }

    /** Repeats a request where that is safe and useful, and answers it otherwise. */
    void retryOrFail(
            PendingRequest request,
            FailureCause cause,
            Verdict verdict,
            ErrorCode code,
            String message) {
        long now = mClock.getAsLong();
        RetryDecision decision = mRetryPolicy.decide(request.failedAttempt(cause, verdict), now);
        if (decision instanceof RetryDecision.Repeat repeat) {
            repeat(request, repeat.delayNanos());
            return;
        }
        request.fail(code, message, retryAfterMillis(cause));
    }

    private void repeat(PendingRequest request, long delayNanos) {
        if (delayNanos == 0) {
            route(request);
            return;
        }
        mLoop.schedule(
                () -> {
                    request.forgetExcluded();
                    route(request);
                },
                delayNanos,
                TimeUnit.NANOSECONDS);
    }

    private static long retryAfterMillis(FailureCause cause) {
        return cause == FailureCause.REQUEST_REJECTED ? 0 : RETRY_AFTER_MILLIS;
    }

    /** Closes connections that were idle for long. */
    void evictIdle() {
        mServers.values().forEach(ServerRequestQueue::evictIdle);
    }
}
