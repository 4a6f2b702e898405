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
 * Dispatches the requests of one service to its servers.
 *
 * <p>Each request is routed to a server, queued for it, sent, and retried where that is safe. All
 * methods run on one event loop, so no locks are needed.
 */
final class ServiceDispatcher implements ServerRequestQueue.Handler, ServerLoad {
    /** The state of a group has usually changed after this time, so that a retry can succeed. */
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
            EventLoop eventLoop,
            TargetConnector connector,
            ReadPolicy readPolicy,
            UniformRandomProvider random,
            LongSupplier clock,
            CallerAuthenticator authenticator,
            TrafficListener listener,
            ServerStateReader stateReader,
            TransactionRegistry transactions,
            CallerAnswerFactory answerFactory) {
        mService = service;
        mEventLoop = eventLoop;
        mConnector = connector;
        mReadPolicy = readPolicy;
        mRandom = random;
        mClock = clock;
        mAuthenticator = authenticator;
        mListener = listener;
        mStateReader = stateReader;
        mRoutingState = new GroupRoutingState(service);
        mRetryBudget = new RetryBudget(clock.getAsLong());
        mRetryPolicy = new RetryPolicy(mRetryBudget, random);
        AcknowledgementCheck acknowledgementCheck =
                new AcknowledgementCheck(eventLoop, stateReader, clock);
        mSender =
                new StatementSender(
                        this, eventLoop, clock, acknowledgementCheck, transactions, answerFactory);
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
        ServerRequestQueue queue = mServerQueues.get(server);
        return queue == null ? 0 : queue.load();
    }

    @Override
    public boolean hasRoom(ServerId server) {
        ServerRequestQueue queue = mServerQueues.get(server);
        return queue != null && queue.hasRoom();
    }

    Optional<ServerRequestQueue> serverQueue(ServerId id) {
        return Optional.ofNullable(mServerQueues.get(id));
    }

    /**
     * Applies a new configuration of the service.
     *
     * @param instances the number of instances that hold connections to the service
     */
    void configure(Service service, int instances, List<Workspace> workspaces) {
        mService = service;
        mRoutingState.update(service);
        ConnectionShare share = ConnectionShare.of(service.connectionLimit(), instances);
        for (TargetServer target : service.servers()) {
            ServerRequestQueue queue =
                    mServerQueues.computeIfAbsent(target.id(), id -> newServerQueue(target, share));
            queue.setAddress(target.address());
            queue.connections().resize(share);
            workspaces.forEach(
                    workspace -> queue.setWeight(workspace.name(), workspace.effectiveWeight()));
        }
        removeServers(service.servers().stream().map(TargetServer::id).toList());
    }

    private void removeServers(List<ServerId> kept) {
        List<ServerId> removed =
                mServerQueues.keySet().stream().filter(id -> !kept.contains(id)).toList();
        for (ServerId id : removed) {
            ServerRequestQueue queue = mServerQueues.remove(id);
            queue.evictAll();
            reroute(queue, queue.removeIf(request -> true), "the server was withdrawn");
        }
    }

    /** Fails all queued requests and closes idle connections, because the service was withdrawn. */
    void onServiceWithdrawn() {
        for (ServerRequestQueue queue : mServerQueues.values()) {
            for (PendingRequest request : queue.removeIf(queued -> true)) {
                request.fail(ErrorCode.NOT_FOUND, "the service was withdrawn", 0);
            }
            queue.evictAll();
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

    /** Starts a request; its answer completes the future of the request. */
    void submit(PendingRequest request) {
        mRetryBudget.onRequest(mClock.getAsLong());
        route(request);
    }

    /** Fails the queued requests of withdrawn keys. */
    void withdrawKeys(Set<KeyReference> keys) {
        for (ServerRequestQueue queue : mServerQueues.values()) {
            for (PendingRequest request : queue.removeIf(queued -> usesAnyKeyOf(queued, keys))) {
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
     * Requests the states of servers that receive no statements.
     *
     * <p>Without statements no answer would show that such a server has recovered.
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

    /** Applies an observation of a server from a probe. */
    void observe(ServerObservation observation) {
        long termBefore = mRoutingState.term();
        Optional<ServerId> primaryBefore = mRoutingState.primary();
        mRoutingState.observe(observation, mClock.getAsLong());
        reportPrimaryChange(termBefore, primaryBefore);
    }

    /** Applies the primary of a term. */
    void learnPrimary(long term, Optional<ServerId> primary) {
        long termBefore = mRoutingState.term();
        Optional<ServerId> primaryBefore = mRoutingState.primary();
        mRoutingState.learnPrimary(term, primary);
        reportPrimaryChange(termBefore, primaryBefore);
    }

    /**
     * Reports a change of the term or the primary, and routes the requests that wait for a primary.
     *
     * <p>Does nothing when the term and the primary are still the given ones.
     */
    void reportPrimaryChange(long termBefore, Optional<ServerId> primaryBefore) {
        boolean hasChanged =
                mRoutingState.term() != termBefore
                        || !mRoutingState.primary().equals(primaryBefore);
        if (!hasChanged) {
            return;
        }
        mListener.onTermObserved(mService.name(), mRoutingState.term(), mRoutingState.primary());
        if (mRoutingState.term() > termBefore) {
            mSender.abandonWritesExceptAt(mRoutingState.primary());
        }
        mRoutingState
                .primary()
                .map(mServerQueues::get)
                .ifPresent(queue -> queue.connections().onPrimaryChange(mClock.getAsLong()));
        if (mRoutingState.primary().isPresent()) {
            List<PendingRequest> waiting = new ArrayList<>(mWaitingForPrimary);
            mWaitingForPrimary.clear();
            waiting.forEach(this::route);
        }
    }

    /** Chooses the server for a request and queues the request for it, or answers it. */
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
        ServerRequestQueue queue = mServerQueues.get(server);
        if (queue == null) {
            request.fail(ErrorCode.TARGET_UNAVAILABLE, "the server was withdrawn", 0);
            return;
        }
        queue.offer(request);
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
    public void send(
            ServerRequestQueue queue, PendingRequest request, TargetConnection connection) {
        mSender.send(queue, request, connection);
    }

    @Override
    public void reroute(ServerRequestQueue queue, List<PendingRequest> requests, String reason) {
        mRoutingState.observeFailure(queue.server(), mClock.getAsLong());
        mListener.onStatementFailed(mService.name(), queue.server());
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

    /** Retries a request where that is safe and useful, and fails it otherwise. */
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

    /** Closes connections that were idle for too long. */
    void evictIdle() {
        mServerQueues.values().forEach(ServerRequestQueue::evictIdle);
    }
}
