package org.plantainferry.daemon.traffic;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.WorkspaceName;
import org.plantainferry.engine.admission.ConcurrencyLimit;
import org.plantainferry.engine.admission.FairQueue;
import org.plantainferry.engine.admission.OfferResult;
import org.plantainferry.engine.connection.ConnectionAction;
import org.plantainferry.engine.connection.ConnectionPoolState;
import org.plantainferry.engine.connection.ConnectionShare;
import org.plantainferry.network.target.TargetConnection;
import org.plantainferry.network.target.TargetConnector;

/**
 * Queues the requests for one server until there is a connection and room to send them.
 *
 * <p>Confined to the event loop of the service dispatcher.
 */
final class ServerRequestQueue {
    private static final int MAX_QUEUED_REQUESTS = 1_024;
    private static final long INITIAL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
    private static final long SWEEP_INTERVAL_MILLIS = 20;

    private final ServerId mServer;
    private final EventLoop mEventLoop;
    private final TargetConnector mConnector;
    private final LongSupplier mClock;
    private final Handler mHandler;
    private final FairQueue<WorkspaceName, PendingRequest> mWaitingRequests =
            new FairQueue<>(MAX_QUEUED_REQUESTS, INITIAL_INTERVAL_NANOS);
    private final ConnectionPoolState<TargetConnection> mConnections;
    private final ConcurrencyLimit mConcurrencyLimit;
    private String mAddress;
    private boolean mSweepScheduled;

    /** Receives the requests that leave the queue. */
    interface Handler {
        /**
         * Sends a request on a connection.
         *
         * <p>The handler must release the connection and the place in the concurrency limit.
         */
        void send(ServerRequestQueue queue, PendingRequest request, TargetConnection connection);

        /** Routes requests again that this server cannot serve. */
        void reroute(ServerRequestQueue queue, List<PendingRequest> requests, String reason);
    }

    ServerRequestQueue(
            ServerId server,
            String address,
            int slots,
            ConnectionShare share,
            EventLoop eventLoop,
            TargetConnector connector,
            UniformRandomProvider random,
            LongSupplier clock,
            Handler handler) {
        mServer = server;
        mAddress = address;
        mEventLoop = eventLoop;
        mConnector = connector;
        mClock = clock;
        mHandler = handler;
        mConnections = new ConnectionPoolState<>(share, random);
        mConcurrencyLimit = new ConcurrencyLimit(slots);
    }

    ServerId server() {
        return mServer;
    }

    int load() {
        return mConcurrencyLimit.inFlight() + mWaitingRequests.size();
    }

    boolean hasRoom() {
        return mConcurrencyLimit.inFlight() < mConcurrencyLimit.limit()
                && mWaitingRequests.size() == 0;
    }

    ConnectionPoolState<TargetConnection> connections() {
        return mConnections;
    }

    ConcurrencyLimit concurrencyLimit() {
        return mConcurrencyLimit;
    }

    void setWeight(WorkspaceName workspace, double weight) {
        mWaitingRequests.setWeight(workspace, weight);
    }

    void setAddress(String address) {
        if (!address.equals(mAddress)) {
            mAddress = address;
            mConnections.evictAll().forEach(TargetConnection::close);
        }
    }

    void offer(PendingRequest request) {
        long now = mClock.getAsLong();
        CallerRequest callerRequest = request.request();
        OfferResult<PendingRequest> result =
                mWaitingRequests.offer(
                        callerRequest.workspace(), request, callerRequest.deadlineNanos(), now);
        if (result instanceof OfferResult.Refused<PendingRequest> refused) {
            request.fail(refused.toException());
            return;
        }
        if (result instanceof OfferResult.Queued<PendingRequest> queued) {
            queued.displaced().ifPresent(this::failDisplaced);
        }
        dispatchWaiting();
    }

    private void failDisplaced(PendingRequest displaced) {
        displaced.fail(
                ErrorCode.OVERLOADED,
                OfferResult.Reason.TOTAL_LIMIT.message(),
                SWEEP_INTERVAL_MILLIS);
    }

    /**
     * Sends waiting requests while the concurrency limit has room and there are connections.
     *
     * <p>Requests whose deadline has passed are failed first. While requests remain, a timer calls
     * this method again, so that they expire even if nothing else happens.
     */
    void dispatchWaiting() {
        long now = mClock.getAsLong();
        for (PendingRequest expired : mWaitingRequests.removeExpired(now)) {
            expired.fail(ErrorCode.DEADLINE_EXCEEDED, "the deadline passed in the queue", 0);
        }
        boolean canContinue = true;
        while (canContinue
                && mWaitingRequests.size() > 0
                && mConcurrencyLimit.inFlight() < mConcurrencyLimit.limit()) {
            canContinue = dispatchNext(now);
        }
        if (mWaitingRequests.size() > 0 && !mSweepScheduled) {
            mSweepScheduled = true;
            mEventLoop.schedule(this::sweep, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void sweep() {
        mSweepScheduled = false;
        dispatchWaiting();
    }

    /** Takes one step to send a request; returns false when no further step is possible now. */
    private boolean dispatchNext(long now) {
        if (mConnections.idle() == 0 && mConnections.openings() >= mWaitingRequests.size()) {
            return false;
        }
        ConnectionAction<TargetConnection> action = mConnections.acquire(now);
        if (action instanceof ConnectionAction.Open<TargetConnection>) {
            openConnection();
            return true;
        }
        if (action instanceof ConnectionAction.Use<TargetConnection> use) {
            sendNextOn(use.connection(), now);
            return true;
        }
        return false;
    }

    private void sendNextOn(TargetConnection connection, long now) {
        if (!connection.isOpen()) {
            mConnections.discard(connection);
            return;
        }
        Optional<PendingRequest> next = mWaitingRequests.poll(now);
        if (next.isEmpty() || !mConcurrencyLimit.tryAcquire()) {
            release(connection);
            return;
        }
        mHandler.send(this, next.get(), connection);
    }

    private void openConnection() {
        mConnector
                .connect(mAddress)
                .whenCompleteAsync(
                        (connection, failure) -> {
                            if (failure == null) {
                                onOpened(connection);
                            } else {
                                onOpenFailed(failure.getMessage());
                            }
                        },
                        mEventLoop);
    }

    private void onOpened(TargetConnection connection) {
        connection.closeFuture().thenRunAsync(() -> mConnections.discard(connection), mEventLoop);
        mConnections.opened(connection, mClock.getAsLong()).ifPresent(TargetConnection::close);
        dispatchWaiting();
    }

    private void onOpenFailed(String reason) {
        mConnections.openFailed(mClock.getAsLong());
        if (mConnections.size() == 0) {
            mHandler.reroute(this, mWaitingRequests.removeIf(request -> true), reason);
        }
    }

    /** Returns a connection to the pool; a closed one is discarded. */
    void release(TargetConnection connection) {
        if (!connection.isOpen()) {
            mConnections.discard(connection);
            return;
        }
        mConnections.release(connection, mClock.getAsLong()).ifPresent(TargetConnection::close);
    }

    /** Closes a connection whose state is unknown. */
    void discard(TargetConnection connection) {
        mConnections.discard(connection);
        connection.close();
    }

    List<PendingRequest> removeIf(Predicate<PendingRequest> condition) {
        return mWaitingRequests.removeIf(condition);
    }

    void evictIdle() {
        mConnections.evict(mClock.getAsLong()).forEach(TargetConnection::close);
    }

    void evictAll() {
        mConnections.evictAll().forEach(TargetConnection::close);
    }
}
