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
import org.plantainferry.engine.routing.GroupRoutingState;
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

    private final EventLoop mEventLoop;
    private final TargetConnector mConnector;
    private final UniformRandomProvider mRandom;
    private final LongSupplier mClock;
    private final ReadPolicy mReadPolicy;
    private final WriteRouter mWriteRouter = new WriteRouter();
    private final RetryBudget mRetryBudget;
    private final RetryPolicy mRetryPolicy;
    private final CallerAuthenticator mAuthenticator;
    private final TrafficListener mListener;
    private final StatementSender mSender;
    private final ServerStateReader mStateReader;
    private final Map<ServerId, ServerRequestQueue> mServerQueues = new LinkedHashMap<>();
    private final List<PendingRequest> mWaitingForPrimary = new ArrayList<>();
    private final GroupRoutingState mRoutingState;
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
        mEventLoop = loop;
        mConnector = connector;
        mReadPolicy = readPolicy;
        mRandom = random;
        mClock = clock;
        mAuthenticator = authority;
        mListener = events;
        mStateReader = states;
        mRoutingState = new GroupRoutingState(service);
        mRetryBudget = new RetryBudget(clock.getAsLong());
        mRetryPolicy = new RetryPolicy(mRetryBudget, random);
        AcknowledgementCheck check = new AcknowledgementCheck(loop, states, clock);
        mSender = new StatementSender(this, loop, clock, check, transactions, answers);
    }

    Service service() {
        return mService;
    }

    GroupRoutingState routingState() {
        return mRoutingState;
    }

    EventLoop eventLoop() {
        return mEventLoop;
    }

    TrafficListener listener() {
        return mListener;
    }

    CallerAuthenticator authenticator() {
        return mAuthenticator;
    }

    StatementSender sender() {
        return mSender;
    }

    @Override
    public int inFlight(ServerId server) {
        ServerRequestQueue lane = mServerQueues.get(server);
        return lane == null ? 0 : lane.load();
    }

    @Override
    public boolean hasRoom(ServerId server) {
        ServerRequestQueue lane = mServerQueues.get(server);
        return lane != null && lane.hasRoom();
    }

    Optional<ServerRequestQueue> serverQueue(ServerId id) {
        return Optional.ofNullable(mServerQueues.get(id));
    }

    /**
     * Takes over a new configuration.
     *
     * @param instances the number of instances that use the service
     */
    void configure(Service service, int instances, List<Workspace> workspaces) {
        mService = service;
        mRoutingState.update(service);
        ConnectionShare share = ConnectionShare.of(service.connectionLimit(), instances);
        for (TargetServer target : service.servers()) {
            ServerRequestQueue lane =
                    mServerQueues.computeIfAbsent(target.id(), id -> newServerQueue(target, share));
            lane.setAddress(target.address());
            lane.connections().resize(share);
            workspaces.forEach(each -> lane.setWeight(each.name(), each.effectiveWeight()));
        }
        removeServers(service.servers().stream().map(TargetServer::id).toList());
    }

    private void removeServers(List<ServerId> kept) {
        List<ServerId> gone =
                mServerQueues.keySet().stream().filter(each -> !kept.contains(each)).toList();
        for (ServerId id : gone) {
            ServerRequestQueue lane = mServerQueues.remove(id);
            lane.evictAll();
            reroute(lane, lane.removeIf(each -> true), "the server was withdrawn");
        }
    }

    /** Ends everything that waits here, because the service was withdrawn. */
    void onServiceWithdrawn() {
        for (ServerRequestQueue lane : mServerQueues.values()) {
            for (PendingRequest request : lane.removeIf(each -> true)) {
                request.fail(ErrorCode.NOT_FOUND, "the service was withdrawn", 0);
            }
            lane.evictAll();
        }
        mServerQueues.clear();
    }

    private ServerRequestQueue newServerQueue(TargetServer target, ConnectionShare share) {
        return new ServerRequestQueue(
                target.id(),
                target.address(),
                mService.slots(),
                share,
                mEventLoop,
                mConnector,
                mRandom,
                mClock,
                this);
    }

    /** Starts a request; its answer completes the request's future. */
    void submit(PendingRequest request) {
        mRetryBudget.onRequest(mClock.getAsLong());
        route(request);
    }

    /** Ends what requests of withdrawn keys still wait for. */
    void withdrawKeys(Set<KeyReference> keys) {
        for (ServerRequestQueue lane : mServerQueues.values()) {
            for (PendingRequest request : lane.removeIf(each -> usesAnyKeyOf(each, keys))) {
                request.fail(ErrorCode.KEY_INVALID, "the key was withdrawn", 0);
            }
        }
    }

    private static boolean usesAnyKeyOf(PendingRequest request, Set<KeyReference> keys) {
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
        for (ServerId id : mRoutingState.takeDueStateProbes(mClock.getAsLong())) {
            mService.servers().stream()
                    .filter(server -> server.id().equals(id))
                    .forEach(this::probe);
        }
    }

    private void probe(TargetServer server) {
        mStateReader
                .read(server.address(), PROBE_TIMEOUT_MILLIS)
                .whenCompleteAsync(
                        (state, failure) -> {
                            if (failure == null && state.server().equals(server.id())) {
                                observe(ServerObservations.fromState(state));
                            }
                        },
                        mEventLoop);
    }

    /** Takes over what a probe or an answer says of a server. */
    void observe(ServerObservation observation) {
        long termBefore = mRoutingState.term();
        Optional<ServerId> primaryBefore = mRoutingState.primary();
        mRoutingState.observe(observation, mClock.getAsLong());
        reportPrimaryChange(termBefore, primaryBefore);
    }

    /** Takes over the primary of a term. */
    void learnPrimary(long term, Optional<ServerId> primary) {
        long termBefore = mRoutingState.term();
        Optional<ServerId> primaryBefore = mRoutingState.primary();
        mRoutingState.learnPrimary(term, primary);
        reportPrimaryChange(termBefore, primaryBefore);
    }

    /** Reacts to a change of term or primary since the given ones. */
    void reportPrimaryChange(long termBefore, Optional<ServerId> primaryBefore) {
        boolean changed =
                mRoutingState.term() != termBefore
                        || !mRoutingState.primary().equals(primaryBefore);
        if (!changed) {
            return;
        }
        mListener.onTermObserved(mService.name(), mRoutingState.term(), mRoutingState.primary());
        if (mRoutingState.term() > termBefore) {
            mSender.abandonWritesExceptAt(mRoutingState.primary());
        }
        mRoutingState
                .primary()
                .map(mServerQueues::get)
                .ifPresent(lane -> lane.connections().onPrimaryChange(mClock.getAsLong()));
        if (mRoutingState.primary().isPresent()) {
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
            mAuthenticator.verifyStillValid(request.request());
        } catch (PlantainferryException e) {
            request.fail(e);
            return;
        }
        execute(request, chooseServer(request, now));
    }

    private RoutingDecision chooseServer(PendingRequest request, long now) {
        boolean isRead =
                request.request().operation() == Operation.STATEMENT
                        && request.request().kind() == StatementKind.READ;
        if (isRead) {
            return mReadPolicy.choose(
                    request.readRequirement(), mRoutingState, this, request.excludedServers(), now);
        }
        return mWriteRouter.choose(
                request.writeRequirement(), mRoutingState, request.excludedServers(), now);
    }

    private void execute(PendingRequest request, RoutingDecision decision) {
        if (decision instanceof RoutingDecision.UseServer use) {
            request.setMinimumPosition(use.minimumPosition());
            enqueue(request, use.server());
        } else if (decision instanceof RoutingDecision.WaitForReplica wait) {
            routeAfter(request, wait.delayNanos());
        } else if (decision instanceof RoutingDecision.WaitForPrimary wait) {
            mWaitingForPrimary.add(request);
            routeAfter(request, wait.delayNanos());
        } else if (decision instanceof RoutingDecision.Unavailable unavailable) {
            request.fail(
                    ErrorCode.TARGET_UNAVAILABLE,
                    "no server of " + mService.name() + " can serve the request now",
                    unavailable.retryAfterMillis());
        }
    }

    private void enqueue(PendingRequest request, ServerId server) {
        ServerRequestQueue lane = mServerQueues.get(server);
        if (lane == null) {
            request.fail(ErrorCode.TARGET_UNAVAILABLE, "the server was withdrawn", 0);
            return;
        }
        lane.offer(request);
    }

    private void routeAfter(PendingRequest request, long delayNanos) {
        long startedNanos = mClock.getAsLong();
        request.setWaiting(true);
        mEventLoop.schedule(
                () -> {
                    mWaitingForPrimary.remove(request);
                    if (request.isWaiting()) {
                        request.addWaitedNanos(mClock.getAsLong() - startedNanos);
                        request.clearExcluded();
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
        mRoutingState.observeFailure(lane.server(), mClock.getAsLong());
        mListener.onStatementFailed(mService.name(), lane.server());
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
        if (decision instanceof RetryDecision.Retry repeat) {
            retry(request, repeat.delayNanos());
            return;
        }
        request.fail(code, message, retryAfterMillis(cause));
    }

    private void retry(PendingRequest request, long delayNanos) {
        if (delayNanos == 0) {
            route(request);
            return;
        }
        mEventLoop.schedule(
                () -> {
                    request.clearExcluded();
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
        mServerQueues.values().forEach(ServerRequestQueue::evictIdle);
    }
}
