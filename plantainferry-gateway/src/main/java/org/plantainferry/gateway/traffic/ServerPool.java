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
import org.plantainferry.engine.connection.OpeningPause;
import org.plantainferry.engine.placement.ConnectionSupply;
import org.plantainferry.engine.placement.OpeningChoice;
import org.plantainferry.engine.placement.ServerHealth;
import org.plantainferry.engine.sessionstate.PreparedShape;
import org.plantainferry.engine.sessionstate.SessionValues;
import org.plantainferry.gateway.spi.WireFormat;
import org.plantainferry.gateway.statement.FailureCode;

/**
 * Keeps the connections of this instance to one server.
 *
 * <p>A connection belongs to one workspace. When all places are taken, an idle connection of
 * another workspace is closed to make room, and otherwise requests wait in order of arrival. Used
 * by the traffic thread only.
 */
final class ServerPool {
    private static final long LIMITED_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final int MOST_OPENING = 2;
    // Shorter times are watched by a timer of their own, longer ones by the regular cleaning.
    private static final long SHORT_IDLE_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Wants a connection. */
    private static final class Waiter {
        private final String mWorkspace;
        private final SessionValues mSession;
        private final Optional<PreparedShape> mNeeded;
        private final Consumer<PoolAnswer> mCallback;
        private final long mSinceNanos;
        private ScheduledFuture<?> mTimeout;

        Waiter(
                String workspace,
                SessionValues session,
                Optional<PreparedShape> needed,
                long sinceNanos,
                Consumer<PoolAnswer> callback) {
            mSinceNanos = sinceNanos;
            mWorkspace = workspace;
            mSession = session;
            mNeeded = needed;
            mCallback = callback;
        }
    }

    private final EventLoop mLoop;
    private final WireFormat mFormat;
    private final String mLocalAddress;
    private final LongSupplier mClock;
    private CatalogServer mServer;
    private final ServerHealth mHealth;
    private final TrafficMetrics mCounters;
    private final Random mRandom = new Random();
    private final List<ServerLink> mLinks = new ArrayList<>();
    private final List<ServerLink> mIdle = new ArrayList<>();
    private final Deque<Waiter> mWaiters = new ArrayDeque<>();
    private final Map<String, Integer> mOpeningFor = new HashMap<>();
    private final OpeningPause mPause = new OpeningPause();
    private boolean mPauseTimer;
    private int mOpening;
    private int mLimit = 1;
    private long mIdleNanos = Long.MAX_VALUE;
    private int mRefusedLimit;
    private long mRefusedUntil;
    private Optional<String> mRelay = Optional.empty();
    private long mRelayUntil = Long.MIN_VALUE / 2;
    private Optional<Long> mLeavingSinceNanos = Optional.empty();
    private boolean mClosed;

    ServerPool(
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
        mCounters = counters;
        noteLeaving();
    }

    private void noteLeaving() {
        if (!mServer.draining()) {
            mLeavingSinceNanos = Optional.empty();
        } else if (mLeavingSinceNanos.isEmpty()) {
            mLeavingSinceNanos = Optional.of(mClock.getAsLong());
        }
    }

    /** Returns whether the server was known to leave before a time. */
    boolean hasBeenLeavingSince(long nanos) {
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
        noteLeaving();
    }

    /**
     * Sets how the server may be used.
     *
     * @param limit the connections that may be open at the same time
     * @param idleNanos for how long an idle connection is kept
     */
    void setPlan(int limit, long idleNanos) {
        mLimit = Math.max(1, limit);
        mIdleNanos = idleNanos;
    }

    /** Returns whether the server takes fewer connections than instances want one. */
    boolean isScarce() {
        return mIdleNanos < SHORT_IDLE_NANOS;
    }

    /** Returns what a statement of a workspace finds here now. */
    ConnectionSupply supply(String workspace) {
        if (mIdle.stream().anyMatch(link -> link.isOpen() && link.isFor(workspace))) {
            return ConnectionSupply.IDLE;
        }
        return mLinks.size() < limitNow() ? ConnectionSupply.ROOM : ConnectionSupply.CROWDED;
    }

    /** Takes any idle connection, for statements of this system that no session values affect. */
    Optional<ServerLink> takeAnyIdle() {
        mIdle.removeIf(link -> !link.isOpen());
        Optional<ServerLink> newest =
                mIdle.stream().max(Comparator.comparingLong(ServerLink::idleSinceNanos));
        newest.ifPresent(mIdle::remove);
        return newest;
    }

    int waiters() {
        return mWaiters.size();
    }

    /** Returns a connection now or when one is free; the callback runs once. */
    void acquire(
            String workspace,
            SessionValues session,
            Optional<PreparedShape> needed,
            long patienceMillis,
            Consumer<PoolAnswer> callback) {
        if (mClosed) {
            callback.accept(PoolAnswer.refused("the server is gone"));
            return;
        }
        Optional<ServerLink> idle = takeIdle(workspace, session, needed);
        if (idle.isPresent()) {
            callback.accept(PoolAnswer.granted(idle.get()));
            return;
        }
        Waiter waiter = new Waiter(workspace, session, needed, mClock.getAsLong(), callback);
        mWaiters.addLast(waiter);
        waiter.mTimeout =
                mLoop.schedule(
                        () -> refuse(waiter, "no connection was free in time"),
                        patienceMillis,
                        TimeUnit.MILLISECONDS);
        openForWaiters();
    }

    private Optional<ServerLink> takeIdle(
            String workspace, SessionValues session, Optional<PreparedShape> needed) {
        mIdle.removeIf(link -> !link.isOpen());
        Optional<ServerLink> best =
                mIdle.stream()
                        .filter(link -> link.isFor(workspace))
                        .min(
                                Comparator.comparingInt(
                                        link -> link.contents().distance(session, needed)));
        best.ifPresent(mIdle::remove);
        return best;
    }

    private void refuse(Waiter waiter, String reason) {
        if (mWaiters.remove(waiter)) {
            waiter.mTimeout.cancel(false);
            waiter.mCallback.accept(PoolAnswer.refused(reason));
        }
    }

    private int limitNow() {
        boolean isLimited = mClock.getAsLong() - mRefusedUntil < 0;
        return isLimited ? Math.max(1, Math.min(mLimit, mRefusedLimit)) : mLimit;
    }

    private void openForWaiters() {
        if (!mWaiters.isEmpty() && mPause.remainingNanos(mClock.getAsLong()) > 0) {
            openAfterPause();
            return;
        }
        while (mOpening < MOST_OPENING) {
            Optional<String> workspace = OpeningChoice.choose(waiting(), mOpeningFor);
            boolean hasPlace = mLinks.size() < limitNow() || !mIdle.isEmpty();
            if (workspace.isEmpty() || !hasPlace) {
                return;
            }
            if (mLinks.size() >= limitNow()) {
                evictIdle();
            }
            open(workspace.get());
        }
    }

    private void openAfterPause() {
        if (mPauseTimer) {
            return;
        }
        mPauseTimer = true;
        mLoop.schedule(
                () -> {
                    mPauseTimer = false;
                    openForWaiters();
                },
                mPause.remainingNanos(mClock.getAsLong()),
                TimeUnit.NANOSECONDS);
    }

    private List<OpeningChoice.Waiting> waiting() {
        long now = mClock.getAsLong();
        return mWaiters.stream()
                .map(
                        waiter ->
                                new OpeningChoice.Waiting(
                                        waiter.mWorkspace, now - waiter.mSinceNanos))
                .toList();
    }

    private void evictIdle() {
        mIdle.stream()
                .min(Comparator.comparingLong(ServerLink::idleSinceNanos))
                .ifPresent(link -> link.close("its place is needed for another workspace"));
    }

    private void open(String workspace) {
        ServerLink link = new ServerLink(mFormat, mServer, workspace);
        mLinks.add(link);
        mOpening++;
        mOpeningFor.merge(workspace, 1, Integer::sum);
        mCounters.onConnectionOpening();
        link.onClosed(() -> onClosed(link));
        long started = mClock.getAsLong();
        link.open(
                mLoop, mLocalAddress, relay(), reply -> onOpened(link, workspace, started, reply));
    }

    private Optional<String> relay() {
        return mClock.getAsLong() - mRelayUntil < 0 ? mRelay : Optional.empty();
    }

    /** Lets new connections go through another instance for a while. */
    void relayThrough(String address, long untilNanos) {
        boolean isNew = relay().isEmpty();
        mRelay = Optional.of(address);
        mRelayUntil = untilNanos;
        mHealth.onReachable();
        if (isNew) {
            for (ServerLink link : List.copyOf(mIdle)) {
                link.close("the server is not reached directly");
            }
        }
        openForWaiters();
    }

    private void onClosed(ServerLink link) {
        mIdle.remove(link);
        if (mLinks.remove(link) && !mClosed) {
            mLoop.execute(this::openForWaiters);
        }
    }

    private void onOpened(ServerLink link, String workspace, long startedNanos, ServerReply reply) {
        mOpening--;
        mOpeningFor.computeIfPresent(workspace, (key, count) -> count > 1 ? count - 1 : null);
        long now = mClock.getAsLong();
        if (reply.isDone()) {
            mPause.onOpened();
            mHealth.onOpened(now, now - startedNanos);
            release(link);
            return;
        }
        mCounters.onConnectionFailed();
        if (!reply.isLost() && reply.code() == FailureCode.TOO_MANY_CONNECTIONS) {
            mRefusedLimit = Math.max(1, mLinks.size() - 1);
            mRefusedUntil = now + LIMITED_NANOS;
            mPause.onRefused(now, mRandom.nextDouble());
        } else {
            mHealth.onFailure(now);
        }
        boolean isLastHope = mLinks.isEmpty() || mHealth.isAvoided(now);
        if (isLastHope) {
            refuseAll(reply.text());
        } else {
            openForWaiters();
        }
    }

    private void refuseAll(String reason) {
        for (Waiter waiter : List.copyOf(mWaiters)) {
            refuse(waiter, reason);
        }
    }

    /** Takes back a connection that is idle at the server. */
    void release(ServerLink link) {
        if (!link.isOpen() || link.isAnswering() || mClosed) {
            link.close("the connection is not usable any more");
            return;
        }
        link.setIdleSinceNanos(mClock.getAsLong());
        mIdle.add(link);
        if (isScarce()) {
            mLoop.schedule(this::closeIdle, mIdleNanos, TimeUnit.NANOSECONDS);
        }
        serveWaiters();
        if (mLinks.size() > limitNow()) {
            evictIdle();
        }
        openForWaiters();
    }

    private void serveWaiters() {
        for (Waiter waiter : List.copyOf(mWaiters)) {
            Optional<ServerLink> idle =
                    takeIdle(waiter.mWorkspace, waiter.mSession, waiter.mNeeded);
            if (idle.isPresent()) {
                mWaiters.remove(waiter);
                waiter.mTimeout.cancel(false);
                waiter.mCallback.accept(PoolAnswer.granted(idle.get()));
            }
        }
    }

    /** Closes connections that have been idle for as long as the plan allows. */
    void closeIdle() {
        long since = mClock.getAsLong() - mIdleNanos;
        for (ServerLink link : List.copyOf(mIdle)) {
            if (link.idleSinceNanos() - since <= 0) {
                link.close("the connection was idle for long");
            }
        }
    }

    /** Closes idle connections; connections in use close when they come back. */
    void close() {
        mClosed = true;
        refuseAll("the server is gone");
        for (ServerLink link : List.copyOf(mIdle)) {
            link.close("the server is gone");
        }
    }
}
