package org.plantainferry.gateway.traffic;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.plantainferry.engine.capacity.ServerCapacity;
import org.plantainferry.engine.capacity.ServerRoom;
import org.plantainferry.engine.capacity.WorkKind;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.connection.ConnectionBackoff;
import org.plantainferry.engine.placement.ConnectionAvailability;
import org.plantainferry.engine.placement.ServerHealth;
import org.plantainferry.engine.scheduling.DispatchState;
import org.plantainferry.engine.scheduling.WaitingSnapshot;
import org.plantainferry.gateway.spi.WireFormat;
import org.plantainferry.gateway.statement.FailureCode;

/**
 * Pools the connections of this instance to one server.
 *
 * <p>A connection belongs to one workspace. At the connection limit, the least recently used idle
 * connection is closed to make room. Requests wait in a {@link WaiterDispatcher} for a connection,
 * and for room at the server: statements in progress, granted connections whose statement is not
 * sent yet and connections that are being opened are together at most as many as {@link ServerRoom}
 * permits. A transaction keeps its connection, so its statements do not wait again. Not
 * thread-safe: used by the traffic thread only.
 */
final class ServerConnectionPool implements WaiterDispatcher.Connections {
    private static final long REFUSED_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final int MAX_CONCURRENT_OPENS = 2;
    private static final String LEAVING = "the server is leaving";
    private static final String EVACUATED = "the failure domain of the server is evacuated";
    // Shorter idle times get a timer for each connection; the periodic cleanup handles longer ones.
    private static final long SHORT_IDLE_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final EventLoop mLoop;
    private final WireFormat mFormat;
    private final String mLocalAddress;
    private final LongSupplier mClock;
    private CatalogServer mServer;
    private final ServerHealth mHealth;
    private final ServerRoom mRoom;
    private final TrafficMetrics mMetrics;
    private final ConnectionMemory mMemory;
    private final Random mRandom = new Random();
    private final List<ServerConnection> mConnections = new ArrayList<>();
    private final List<ServerConnection> mIdleConnections = new ArrayList<>();
    private final Set<ServerConnection> mGrantedConnections = new HashSet<>();
    private final WaiterDispatcher mWaiters;
    private final ConnectionBackoff mConnectionBackoff = new ConnectionBackoff();
    private boolean mBackoffTimerScheduled;
    private int mLimit = 1;
    private long mMaxIdleNanos = Long.MAX_VALUE;
    private int mRefusedLimit;
    private long mRefusedLimitEndNanos;
    private Optional<String> mRelayAddress = Optional.empty();
    private long mRelayEndNanos = Long.MIN_VALUE / 2;
    private final LeavingPeriod mLeaving;
    private final long mLeavingNanos;
    private Optional<Long> mClosedFromNanos = Optional.empty();
    private boolean mClosed;

    ServerConnectionPool(
            EventLoop loop,
            WireFormat format,
            String localAddress,
            LongSupplier clock,
            CatalogServer server,
            ServerHealth health,
            ServerRoom room,
            long leavingNanos,
            TrafficMetrics metrics,
            ConnectionMemory memory) {
        mLoop = loop;
        mFormat = format;
        mLocalAddress = localAddress;
        mClock = clock;
        mServer = server;
        mHealth = health;
        mRoom = room;
        mMetrics = metrics;
        mMemory = memory;
        mWaiters = new WaiterDispatcher(loop, clock, server.id(), this);
        mLeaving = new LeavingPeriod(loop, clock);
        mLeavingNanos = leavingNanos;
        updateLeaving();
    }

    /** Ends the waits for a server once it has been leaving for as long as it receives new work. */
    private void updateLeaving() {
        mLeaving.update(mServer.draining(), mLeavingNanos, () -> mWaiters.rejectAll(LEAVING));
    }

    /** Returns whether the server was already known to be leaving at a time. */
    boolean wasLeavingAt(long nanos) {
        return mLeaving.wasLeavingAt(nanos);
    }

    CatalogServer server() {
        return mServer;
    }

    ServerHealth health() {
        return mHealth;
    }

    /** Records that a statement was sent over a connection of this pool. */
    void onStatementSent(WorkKind kind, long nowNanos) {
        mHealth.onStatementSent();
        mRoom.onSent(kind, nowNanos);
    }

    /** Records the end of a statement for which {@link #onStatementSent} was called. */
    void onStatementEnded(WorkKind kind, ServerReply reply, long elapsedNanos) {
        mHealth.onStatementEnded();
        mRoom.onEnded(kind, reply.outcome(), elapsedNanos, mClock.getAsLong());
        // The caller of this method has yet to release the connection.
        mWaiters.dispatchSoon();
    }

    /** Returns how many statements of this instance the server has room for. */
    ServerRoom room() {
        return mRoom;
    }

    /** Returns the load of the server for the metrics. */
    ServerLoad load(long nowNanos) {
        WaitingSnapshot waiting = mWaiters.snapshot();
        return new ServerLoad(
                mServer.id(),
                mRoom.limit(nowNanos),
                mRoom.inFlight(),
                waiting.waitingByPriority(),
                waiting.refusedEarly(),
                waiting.displaced(),
                mRoom.snapshot().map(ServerCapacity::slowness).orElse(Double.NaN));
    }

    /** Applies a new catalog entry of the same server process. */
    void update(CatalogServer server) {
        if (server.primary() != mServer.primary()) {
            mHealth.onRoleDeclared();
        }
        mServer = server;
        updateLeaving();
    }

    /**
     * Sets the time from which on nothing may be sent to the server, because its failure domain is
     * evacuated; empty if it is not.
     */
    void setClosedFrom(Optional<Long> closedFromNanos) {
        if (closedFromNanos.equals(mClosedFromNanos)) {
            return;
        }
        mClosedFromNanos = closedFromNanos;
        closedFromNanos.ifPresent(
                nanos ->
                        mLoop.schedule(
                                this::endEvacuatedWork,
                                Math.max(0, nanos - mClock.getAsLong()),
                                TimeUnit.NANOSECONDS));
    }

    private void endEvacuatedWork() {
        if (acceptsStatements()) {
            return;
        }
        mWaiters.rejectAll(EVACUATED);
        for (ServerConnection connection : List.copyOf(mIdleConnections)) {
            connection.close(EVACUATED);
        }
    }

    /** Returns whether the failure domain of the server is evacuated. */
    boolean isEvacuated() {
        return mClosedFromNanos.isPresent();
    }

    /**
     * Returns whether statements may be sent to the server, as far as evacuations are concerned.
     */
    boolean acceptsStatements() {
        return mClosedFromNanos.isEmpty() || mClock.getAsLong() - mClosedFromNanos.get() < 0;
    }

    /**
     * Sets the connection limit and the idle time.
     *
     * @param limit the maximum number of open connections; at least 1 is used
     * @param idleNanos for how long an idle connection is kept, in nanoseconds
     */
    void setPlan(int limit, long idleNanos) {
        mLimit = Math.max(1, limit);
        mMaxIdleNanos = idleNanos;
    }

    /**
     * Returns whether the server accepts fewer connections than there are instances that need one,
     * which the plan expresses by a short idle time.
     */
    boolean hasScarceConnections() {
        return mMaxIdleNanos < SHORT_IDLE_NANOS;
    }

    /** Returns how readily a statement of a workspace would currently get a connection. */
    ConnectionAvailability availability(String workspace) {
        if (mIdleConnections.stream()
                .anyMatch(
                        connection ->
                                connection.isOpen() && connection.isForWorkspace(workspace))) {
            return ConnectionAvailability.IDLE;
        }
        return mConnections.size() < effectiveLimit()
                ? ConnectionAvailability.CAN_OPEN
                : ConnectionAvailability.AT_LIMIT;
    }

    /**
     * Takes the most recently used idle connection of any workspace, for statements of the gateway
     * that do not depend on session values.
     */
    Optional<ServerConnection> takeAnyIdle() {
        mIdleConnections.removeIf(connection -> !connection.isOpen());
        Optional<ServerConnection> newest =
                mIdleConnections.stream()
                        .max(Comparator.comparingLong(ServerConnection::idleSinceNanos));
        newest.ifPresent(mIdleConnections::remove);
        return newest;
    }

    int waiters() {
        return mWaiters.size();
    }

    /**
     * Acquires a connection, waiting for one if necessary. The callback runs once, unless the
     * request is cancelled, with a refusal if the request cannot be served before its deadline.
     */
    ConnectionWaiter acquire(ConnectionRequest request, Consumer<PooledConnectionResult> callback) {
        ConnectionWaiter waiter = new ConnectionWaiter(request, callback);
        if (mClosed || !acceptsStatements()) {
            waiter.accept(
                    PooledConnectionResult.refused(mClosed ? "the server is gone" : EVACUATED));
            return waiter;
        }
        // Room that the end of a statement has left belongs to those who wait already.
        boolean mayTake = !mWaiters.isDispatchScheduled() && hasRoom();
        Optional<ServerConnection> idle = mayTake ? takeIdle(request) : Optional.empty();
        if (idle.isPresent()) {
            grant(waiter, idle.get());
        } else {
            mWaiters.offer(waiter, mRoom.serviceNanos(workKind(request)));
        }
        return waiter;
    }

    /** Ends a request that is of no use any more. Does nothing if it has ended. */
    void cancel(ConnectionWaiter waiter) {
        mWaiters.cancel(waiter);
    }

    private static WorkKind workKind(ConnectionRequest request) {
        boolean isWrite = request.purpose() == ConnectionPurpose.WRITE;
        return new WorkKind(
                request.route().database(), isWrite ? WorkKind.Step.WRITE : WorkKind.Step.READ);
    }

    private int limit() {
        return mRoom.limit(mClock.getAsLong());
    }

    private int inProgress() {
        mGrantedConnections.removeIf(connection -> !connection.isAwaitingStatement());
        return mRoom.inFlight() + mGrantedConnections.size() + mWaiters.openings();
    }

    private void grant(ConnectionWaiter waiter, ServerConnection connection) {
        connection.setAwaitingStatement(true);
        mGrantedConnections.add(connection);
        waiter.accept(PooledConnectionResult.granted(connection));
    }

    @Override
    public boolean hasRoom() {
        return inProgress() < limit();
    }

    @Override
    public DispatchState dispatchState() {
        mIdleConnections.removeIf(connection -> !connection.isOpen());
        Set<String> idleWorkspaces =
                mIdleConnections.stream()
                        .map(ServerConnection::workspace)
                        .collect(Collectors.toSet());
        int connections = mConnections.size();
        int limit = effectiveLimit();
        boolean hasPlace = connections < limit || !mIdleConnections.isEmpty();
        return new DispatchState(
                inProgress(),
                limit(),
                idleWorkspaces,
                hasPlace && mWaiters.openings() < MAX_CONCURRENT_OPENS && isBackoffOver(),
                connections >= limit);
    }

    @Override
    public void grant(ConnectionWaiter waiter) {
        grant(waiter, takeIdle(waiter.request()).orElseThrow());
    }

    private Optional<ServerConnection> takeIdle(ConnectionRequest request) {
        mIdleConnections.removeIf(connection -> !connection.isOpen());
        Optional<ServerConnection> best =
                mIdleConnections.stream()
                        .filter(connection -> connection.isForWorkspace(request.workspace()))
                        .min(
                                Comparator.comparingInt(
                                        connection ->
                                                connection
                                                        .state()
                                                        .countSetupSteps(
                                                                request.sessionState(),
                                                                request.requiredDefinition())));
        best.ifPresent(mIdleConnections::remove);
        return best;
    }

    private int effectiveLimit() {
        boolean isLimited = mClock.getAsLong() - mRefusedLimitEndNanos < 0;
        return isLimited ? Math.max(1, Math.min(mLimit, mRefusedLimit)) : mLimit;
    }

    private boolean isBackoffOver() {
        long remaining = mConnectionBackoff.remainingNanos(mClock.getAsLong());
        if (remaining > 0 && !mBackoffTimerScheduled) {
            mBackoffTimerScheduled = true;
            mLoop.schedule(
                    () -> {
                        mBackoffTimerScheduled = false;
                        mWaiters.dispatch();
                    },
                    remaining,
                    TimeUnit.NANOSECONDS);
        }
        return remaining <= 0;
    }

    private void closeLeastRecentlyUsed() {
        mIdleConnections.stream()
                .min(Comparator.comparingLong(ServerConnection::idleSinceNanos))
                .ifPresent(
                        connection ->
                                connection.close("its place is needed for another workspace"));
    }

    @Override
    public void open(String workspace) {
        while (mConnections.size() >= effectiveLimit() && !mIdleConnections.isEmpty()) {
            closeLeastRecentlyUsed();
        }
        ServerConnection connection =
                new ServerConnection(mFormat, mServer, workspace, mMetrics, mMemory);
        mConnections.add(connection);
        mMetrics.onConnectionOpening();
        connection.setCloseCallback(() -> onClosed(connection));
        long started = mClock.getAsLong();
        connection.open(
                mLoop,
                mLocalAddress,
                activeRelay(),
                reply -> onOpened(connection, workspace, started, reply));
    }

    private Optional<String> activeRelay() {
        return mClock.getAsLong() - mRelayEndNanos < 0 ? mRelayAddress : Optional.empty();
    }

    /**
     * Opens new connections through another instance until a point in time. Idle direct connections
     * are closed when the relay begins.
     */
    void relayThrough(String address, long untilNanos) {
        boolean isNew = activeRelay().isEmpty();
        mRelayAddress = Optional.of(address);
        mRelayEndNanos = untilNanos;
        mHealth.onReachable();
        if (isNew) {
            for (ServerConnection connection : List.copyOf(mIdleConnections)) {
                connection.close("the server is not reached directly");
            }
        }
        mWaiters.dispatch();
    }

    private void onClosed(ServerConnection connection) {
        mIdleConnections.remove(connection);
        mGrantedConnections.remove(connection);
        if (mConnections.remove(connection) && !mClosed) {
            mWaiters.dispatchSoon();
        }
    }

    private void onOpened(
            ServerConnection connection, String workspace, long startedNanos, ServerReply reply) {
        long now = mClock.getAsLong();
        if (reply.isDone()) {
            mConnectionBackoff.onOpened();
            mHealth.onOpened(now, now - startedNanos);
            useOpened(connection, mWaiters.onOpened(workspace));
            return;
        }
        mWaiters.onOpeningFailed(workspace);
        mMetrics.onConnectionFailed();
        if (!reply.isLost() && reply.code() == FailureCode.TOO_MANY_CONNECTIONS) {
            mRefusedLimit = Math.max(1, mConnections.size() - 1);
            mRefusedLimitEndNanos = now + REFUSED_LIMIT_NANOS;
            mConnectionBackoff.onRefused(now, mRandom.nextDouble());
        } else {
            mHealth.onFailure(now);
        }
        boolean hasNoAlternative = mConnections.isEmpty() || mHealth.isAvoided(now);
        if (hasNoAlternative) {
            mWaiters.rejectAll(reply.text());
        } else {
            mWaiters.dispatch();
        }
    }

    private void useOpened(ServerConnection connection, Optional<ConnectionWaiter> waiter) {
        if (waiter.isEmpty() || mClosed || !acceptsStatements()) {
            release(connection);
            waiter.ifPresent(refused -> refused.accept(PooledConnectionResult.refused(EVACUATED)));
            return;
        }
        grant(waiter.get(), connection);
        mWaiters.dispatch();
    }

    /**
     * Takes back a connection without open work on the server. An unusable connection is closed.
     */
    void release(ServerConnection connection) {
        mGrantedConnections.remove(connection);
        boolean isUsable =
                connection.isOpen()
                        && !connection.hasPendingStatements()
                        && !connection.isFull()
                        && !connection.hasUnconfirmedRefusal()
                        && acceptsStatements();
        if (!isUsable || mClosed) {
            connection.close("the connection is not usable any more");
            return;
        }
        connection.setIdleSinceNanos(mClock.getAsLong());
        mIdleConnections.add(connection);
        if (hasScarceConnections()) {
            mLoop.schedule(this::closeIdle, mMaxIdleNanos, TimeUnit.NANOSECONDS);
        }
        mWaiters.dispatch();
        if (mConnections.size() > effectiveLimit()) {
            closeLeastRecentlyUsed();
        }
    }

    /** Closes connections that have been idle for as long as the plan allows. */
    void closeIdle() {
        long since = mClock.getAsLong() - mMaxIdleNanos;
        for (ServerConnection connection : List.copyOf(mIdleConnections)) {
            if (connection.idleSinceNanos() - since <= 0) {
                connection.close("the connection was idle for long");
            }
        }
    }

    /** Closes the pool and its idle connections. Connections in use are closed on release. */
    void close() {
        mClosed = true;
        mWaiters.rejectAll("the server is gone");
        for (ServerConnection connection : List.copyOf(mIdleConnections)) {
            connection.close("the server is gone");
        }
    }
}
