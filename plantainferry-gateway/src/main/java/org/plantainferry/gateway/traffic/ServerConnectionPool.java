package org.plantainferry.gateway.traffic;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.plantainferry.engine.capacity.ServerRoom;
import org.plantainferry.engine.capacity.WorkKind;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.connection.ConnectionBackoff;
import org.plantainferry.engine.placement.ConnectionAvailability;
import org.plantainferry.engine.placement.ConnectionOpeningPolicy;
import org.plantainferry.engine.placement.ServerHealth;
import org.plantainferry.engine.sessionstate.PreparedStatementDefinition;
import org.plantainferry.engine.sessionstate.SessionState;
import org.plantainferry.gateway.spi.WireFormat;
import org.plantainferry.gateway.statement.FailureCode;

/**
 * Pools the connections of this instance to one server.
 *
 * <p>A connection belongs to one workspace. At the connection limit, the least recently used idle
 * connection is closed to make room; without one, requests wait in order of arrival. Not
 * thread-safe: used by the traffic thread only.
 */
final class ServerConnectionPool {
    private static final long REFUSED_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final int MAX_CONCURRENT_OPENS = 2;
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
    private final Deque<ConnectionWaiter> mWaiters = new ArrayDeque<>();
    private final Map<String, Integer> mOpeningByWorkspace = new HashMap<>();
    private final ConnectionBackoff mConnectionBackoff = new ConnectionBackoff();
    private boolean mBackoffTimerScheduled;
    private int mOpeningCount;
    private int mLimit = 1;
    private long mMaxIdleNanos = Long.MAX_VALUE;
    private int mRefusedLimit;
    private long mRefusedLimitEndNanos;
    private Optional<String> mRelayAddress = Optional.empty();
    private long mRelayEndNanos = Long.MIN_VALUE / 2;
    private Optional<Long> mLeavingSinceNanos = Optional.empty();
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
        updateLeavingSince();
    }

    private void updateLeavingSince() {
        if (!mServer.draining()) {
            mLeavingSinceNanos = Optional.empty();
        } else if (mLeavingSinceNanos.isEmpty()) {
            mLeavingSinceNanos = Optional.of(mClock.getAsLong());
        }
    }

    /** Returns whether the server was already known to be leaving at a time. */
    boolean wasLeavingAt(long nanos) {
        return mLeavingSinceNanos.isPresent() && mLeavingSinceNanos.get() - nanos <= 0;
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
        mRoom.onEnded(kind, outcome(reply), elapsedNanos, mClock.getAsLong());
    }

    private static ServerRoom.Outcome outcome(ServerReply reply) {
        if (reply.isDone()) {
            return ServerRoom.Outcome.ANSWERED;
        }
        return reply.isFailed() && reply.code() == FailureCode.BUSY
                ? ServerRoom.Outcome.BUSY
                : ServerRoom.Outcome.FAILED;
    }

    /** Returns how many statements of this instance the server has room for. */
    ServerRoom room() {
        return mRoom;
    }

    /** Applies a new catalog entry of the same server process. */
    void update(CatalogServer server) {
        if (server.primary() != mServer.primary()) {
            mHealth.onRoleDeclared();
        }
        mServer = server;
        updateLeavingSince();
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
        rejectAll(EVACUATED);
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
     * Acquires a connection, waiting for one if necessary. The callback runs once, with a refusal
     * when the wait exceeds {@code timeoutMillis}.
     */
    void acquire(
            String workspace,
            SessionState sessionState,
            Optional<PreparedStatementDefinition> requiredDefinition,
            long timeoutMillis,
            Consumer<PooledConnectionResult> callback) {
        if (mClosed || !acceptsStatements()) {
            callback.accept(
                    PooledConnectionResult.refused(mClosed ? "the server is gone" : EVACUATED));
            return;
        }
        Optional<ServerConnection> idle = takeIdle(workspace, sessionState, requiredDefinition);
        if (idle.isPresent()) {
            callback.accept(PooledConnectionResult.granted(idle.get()));
            return;
        }
        ConnectionWaiter waiter =
                new ConnectionWaiter(
                        workspace, sessionState, requiredDefinition, mClock.getAsLong(), callback);
        mWaiters.addLast(waiter);
        waiter.setTimeout(
                mLoop.schedule(
                        () -> reject(waiter, "no connection was free in time"),
                        timeoutMillis,
                        TimeUnit.MILLISECONDS));
        openForWaiters();
    }

    private Optional<ServerConnection> takeIdle(
            String workspace,
            SessionState sessionState,
            Optional<PreparedStatementDefinition> requiredDefinition) {
        mIdleConnections.removeIf(connection -> !connection.isOpen());
        Optional<ServerConnection> best =
                mIdleConnections.stream()
                        .filter(connection -> connection.isForWorkspace(workspace))
                        .min(
                                Comparator.comparingInt(
                                        connection ->
                                                connection
                                                        .state()
                                                        .countSetupSteps(
                                                                sessionState, requiredDefinition)));
        best.ifPresent(mIdleConnections::remove);
        return best;
    }

    private void reject(ConnectionWaiter waiter, String reason) {
        if (mWaiters.remove(waiter)) {
            waiter.accept(PooledConnectionResult.refused(reason));
        }
    }

    private int effectiveLimit() {
        boolean isLimited = mClock.getAsLong() - mRefusedLimitEndNanos < 0;
        return isLimited ? Math.max(1, Math.min(mLimit, mRefusedLimit)) : mLimit;
    }

    private void openForWaiters() {
        if (!mWaiters.isEmpty() && mConnectionBackoff.remainingNanos(mClock.getAsLong()) > 0) {
            openAfterBackoff();
            return;
        }
        while (mOpeningCount < MAX_CONCURRENT_OPENS) {
            Optional<String> workspace =
                    ConnectionOpeningPolicy.choose(waitingRequests(), mOpeningByWorkspace);
            boolean hasPlace =
                    mConnections.size() < effectiveLimit() || !mIdleConnections.isEmpty();
            if (workspace.isEmpty() || !hasPlace) {
                return;
            }
            if (mConnections.size() >= effectiveLimit()) {
                closeLeastRecentlyUsed();
            }
            open(workspace.get());
        }
    }

    private void openAfterBackoff() {
        if (mBackoffTimerScheduled) {
            return;
        }
        mBackoffTimerScheduled = true;
        mLoop.schedule(
                () -> {
                    mBackoffTimerScheduled = false;
                    openForWaiters();
                },
                mConnectionBackoff.remainingNanos(mClock.getAsLong()),
                TimeUnit.NANOSECONDS);
    }

    private List<ConnectionOpeningPolicy.WaitingRequest> waitingRequests() {
        long now = mClock.getAsLong();
        return mWaiters.stream()
                .map(
                        waiter ->
                                new ConnectionOpeningPolicy.WaitingRequest(
                                        waiter.workspace(), now - waiter.waitingSinceNanos()))
                .toList();
    }

    private void closeLeastRecentlyUsed() {
        mIdleConnections.stream()
                .min(Comparator.comparingLong(ServerConnection::idleSinceNanos))
                .ifPresent(
                        connection ->
                                connection.close("its place is needed for another workspace"));
    }

    private void open(String workspace) {
        ServerConnection connection =
                new ServerConnection(mFormat, mServer, workspace, mMetrics, mMemory);
        mConnections.add(connection);
        mOpeningCount++;
        mOpeningByWorkspace.merge(workspace, 1, Integer::sum);
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
        openForWaiters();
    }

    private void onClosed(ServerConnection connection) {
        mIdleConnections.remove(connection);
        if (mConnections.remove(connection) && !mClosed) {
            mLoop.execute(this::openForWaiters);
        }
    }

    private void onOpened(
            ServerConnection connection, String workspace, long startedNanos, ServerReply reply) {
        mOpeningCount--;
        mOpeningByWorkspace.computeIfPresent(
                workspace, (key, count) -> count > 1 ? count - 1 : null);
        long now = mClock.getAsLong();
        if (reply.isDone()) {
            mConnectionBackoff.onOpened();
            mHealth.onOpened(now, now - startedNanos);
            release(connection);
            return;
        }
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
            rejectAll(reply.text());
        } else {
            openForWaiters();
        }
    }

    private void rejectAll(String reason) {
        for (ConnectionWaiter waiter : List.copyOf(mWaiters)) {
            reject(waiter, reason);
        }
    }

    /**
     * Takes back a connection without open work on the server. An unusable connection is closed.
     */
    void release(ServerConnection connection) {
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
        serveWaiters();
        if (mConnections.size() > effectiveLimit()) {
            closeLeastRecentlyUsed();
        }
        openForWaiters();
    }

    private void serveWaiters() {
        for (ConnectionWaiter waiter : List.copyOf(mWaiters)) {
            Optional<ServerConnection> idle =
                    takeIdle(
                            waiter.workspace(), waiter.sessionState(), waiter.requiredDefinition());
            if (idle.isPresent()) {
                mWaiters.remove(waiter);
                waiter.accept(PooledConnectionResult.granted(idle.get()));
            }
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
        rejectAll("the server is gone");
        for (ServerConnection connection : List.copyOf(mIdleConnections)) {
            connection.close("the server is gone");
        }
    }
}
