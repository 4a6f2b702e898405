package org.plantainferry.gateway.traffic;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
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
 * Keeps the connections of this instance to one server.
 *
 * <p>A connection belongs to one workspace. When all places are taken, an idle connection of
 * another workspace is closed to make room, and otherwise requests wait in order of arrival. Used
 * by the traffic thread only.
 */
final class ServerConnectionPool {
    private static final long REFUSED_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final int MAX_CONCURRENT_OPENS = 2;
    // Shorter times are watched by a timer of their own, longer ones by the regular cleaning.
    private static final long SHORT_IDLE_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Wants a connection. */
    private static final class Waiter {
        private final String mWorkspace;
        private final SessionState mSessionState;
        private final Optional<PreparedStatementDefinition> mRequiredDefinition;
        private final Consumer<PooledConnectionResult> mCallback;
        private final long mWaitingSinceNanos;
        private ScheduledFuture<?> mTimeout;

        Waiter(
                String workspace,
                SessionState session,
                Optional<PreparedStatementDefinition> needed,
                long sinceNanos,
                Consumer<PooledConnectionResult> callback) {
            mWaitingSinceNanos = sinceNanos;
            mWorkspace = workspace;
            mSessionState = session;
            mRequiredDefinition = needed;
            mCallback = callback;
        }
    }

    private final EventLoop mLoop;
    private final WireFormat mFormat;
    private final String mLocalAddress;
    private final LongSupplier mClock;
    private CatalogServer mServer;
    private final ServerHealth mHealth;
    private final TrafficMetrics mMetrics;
    private final Random mRandom = new Random();
    private final List<ServerConnection> mConnections = new ArrayList<>();
    private final List<ServerConnection> mIdleConnections = new ArrayList<>();
    private final Deque<Waiter> mWaiters = new ArrayDeque<>();
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
    private boolean mClosed;

    ServerConnectionPool(
            EventLoop loop,
            WireFormat format,
            String localAddress,
            LongSupplier clock,
            CatalogServer server,
            ServerHealth health,
            TrafficMetrics counters) {
        mLoop = loop;
        mFormat = format;
        mLocalAddress = localAddress;
        mClock = clock;
        mServer = server;
        mHealth = health;
        mMetrics = counters;
        updateLeavingSince();
    }

    private void updateLeavingSince() {
        if (!mServer.draining()) {
            mLeavingSinceNanos = Optional.empty();
        } else if (mLeavingSinceNanos.isEmpty()) {
            mLeavingSinceNanos = Optional.of(mClock.getAsLong());
        }
    }

    /** Returns whether the server was known to leave before a time. */
    boolean wasLeavingAt(long nanos) {
        return mLeavingSinceNanos.isPresent() && mLeavingSinceNanos.get() - nanos <= 0;
    }

    CatalogServer server() {
        return mServer;
    }

    ServerHealth health() {
        return mHealth;
    }

    /** Takes over a new entry of the same process. */
    void update(CatalogServer server) {
        if (server.primary() != mServer.primary()) {
            mHealth.onRoleDeclared();
        }
        mServer = server;
        updateLeavingSince();
    }

    /**
     * Sets how the server may be used.
     *
     * @param limit the connections that may be open at the same time
     * @param idleNanos for how long an idle connection is kept
     */
    void setPlan(int limit, long idleNanos) {
        mLimit = Math.max(1, limit);
        mMaxIdleNanos = idleNanos;
    }

    /** Returns whether the server takes fewer connections than instances want one. */
    boolean hasScarceConnections() {
        return mMaxIdleNanos < SHORT_IDLE_NANOS;
    }

    /** Returns what a statement of a workspace finds here now. */
    ConnectionAvailability availability(String workspace) {
        if (mIdleConnections.stream()
                .anyMatch(link -> link.isOpen() && link.isForWorkspace(workspace))) {
            return ConnectionAvailability.IDLE;
        }
        return mConnections.size() < effectiveLimit()
                ? ConnectionAvailability.CAN_OPEN
                : ConnectionAvailability.AT_LIMIT;
    }

    /** Takes any idle connection, for statements of this system that no session values affect. */
    Optional<ServerConnection> takeAnyIdle() {
        mIdleConnections.removeIf(link -> !link.isOpen());
        Optional<ServerConnection> newest =
                mIdleConnections.stream()
                        .max(Comparator.comparingLong(ServerConnection::idleSinceNanos));
        newest.ifPresent(mIdleConnections::remove);
        return newest;
    }

    int waiters() {
        return mWaiters.size();
    }

    /** Returns a connection now or when one is free; the callback runs once. */
    void acquire(
            String workspace,
            SessionState session,
            Optional<PreparedStatementDefinition> needed,
            long patienceMillis,
            Consumer<PooledConnectionResult> callback) {
        if (mClosed) {
            callback.accept(PooledConnectionResult.refused("the server is gone"));
            return;
        }
        Optional<ServerConnection> idle = takeIdle(workspace, session, needed);
        if (idle.isPresent()) {
            callback.accept(PooledConnectionResult.granted(idle.get()));
            return;
        }
        Waiter waiter = new Waiter(workspace, session, needed, mClock.getAsLong(), callback);
        mWaiters.addLast(waiter);
        waiter.mTimeout =
                mLoop.schedule(
                        () -> reject(waiter, "no connection was free in time"),
                        patienceMillis,
                        TimeUnit.MILLISECONDS);
        openForWaiters();
    }

    private Optional<ServerConnection> takeIdle(
            String workspace, SessionState session, Optional<PreparedStatementDefinition> needed) {
        mIdleConnections.removeIf(link -> !link.isOpen());
        Optional<ServerConnection> best =
                mIdleConnections.stream()
                        .filter(link -> link.isForWorkspace(workspace))
                        .min(
                                Comparator.comparingInt(
                                        link -> link.state().countSetupSteps(session, needed)));
        best.ifPresent(mIdleConnections::remove);
        return best;
    }

    private void reject(Waiter waiter, String reason) {
        if (mWaiters.remove(waiter)) {
            waiter.mTimeout.cancel(false);
            waiter.mCallback.accept(PooledConnectionResult.refused(reason));
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
                                        waiter.mWorkspace, now - waiter.mWaitingSinceNanos))
                .toList();
    }

    private void closeLeastRecentlyUsed() {
        mIdleConnections.stream()
                .min(Comparator.comparingLong(ServerConnection::idleSinceNanos))
                .ifPresent(link -> link.close("its place is needed for another workspace"));
    }

    private void open(String workspace) {
        ServerConnection link = new ServerConnection(mFormat, mServer, workspace);
        mConnections.add(link);
        mOpeningCount++;
        mOpeningByWorkspace.merge(workspace, 1, Integer::sum);
        mMetrics.onConnectionOpening();
        link.setCloseCallback(() -> onClosed(link));
        long started = mClock.getAsLong();
        link.open(
                mLoop,
                mLocalAddress,
                activeRelay(),
                reply -> onOpened(link, workspace, started, reply));
    }

    private Optional<String> activeRelay() {
        return mClock.getAsLong() - mRelayEndNanos < 0 ? mRelayAddress : Optional.empty();
    }

    /** Lets new connections go through another instance for a while. */
    void relayThrough(String address, long untilNanos) {
        boolean isNew = activeRelay().isEmpty();
        mRelayAddress = Optional.of(address);
        mRelayEndNanos = untilNanos;
        mHealth.onReachable();
        if (isNew) {
            for (ServerConnection link : List.copyOf(mIdleConnections)) {
                link.close("the server is not reached directly");
            }
        }
        openForWaiters();
    }

    private void onClosed(ServerConnection link) {
        mIdleConnections.remove(link);
        if (mConnections.remove(link) && !mClosed) {
            mLoop.execute(this::openForWaiters);
        }
    }

    private void onOpened(
            ServerConnection link, String workspace, long startedNanos, ServerReply reply) {
        mOpeningCount--;
        mOpeningByWorkspace.computeIfPresent(
                workspace, (key, count) -> count > 1 ? count - 1 : null);
        long now = mClock.getAsLong();
        if (reply.isDone()) {
            mConnectionBackoff.onOpened();
            mHealth.onOpened(now, now - startedNanos);
            release(link);
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
        boolean isLastHope = mConnections.isEmpty() || mHealth.isAvoided(now);
        if (isLastHope) {
            rejectAll(reply.text());
        } else {
            openForWaiters();
        }
    }

    private void rejectAll(String reason) {
        for (Waiter waiter : List.copyOf(mWaiters)) {
            reject(waiter, reason);
        }
    }

    /** Takes back a connection that is idle at the server. */
    void release(ServerConnection link) {
        if (!link.isOpen() || link.hasPendingStatements() || mClosed) {
            link.close("the connection is not usable any more");
            return;
        }
        link.setIdleSinceNanos(mClock.getAsLong());
        mIdleConnections.add(link);
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
        for (Waiter waiter : List.copyOf(mWaiters)) {
            Optional<ServerConnection> idle =
                    takeIdle(waiter.mWorkspace, waiter.mSessionState, waiter.mRequiredDefinition);
            if (idle.isPresent()) {
                mWaiters.remove(waiter);
                waiter.mTimeout.cancel(false);
                waiter.mCallback.accept(PooledConnectionResult.granted(idle.get()));
            }
        }
    }

    /** Closes connections that have been idle for as long as the plan allows. */
    void closeIdle() {
        long since = mClock.getAsLong() - mMaxIdleNanos;
        for (ServerConnection link : List.copyOf(mIdleConnections)) {
            if (link.idleSinceNanos() - since <= 0) {
                link.close("the connection was idle for long");
            }
        }
    }

    /** Closes idle connections; connections in use close when they come back. */
    void close() {
        mClosed = true;
        rejectAll("the server is gone");
        for (ServerConnection link : List.copyOf(mIdleConnections)) {
            link.close("the server is gone");
        }
    }
}
