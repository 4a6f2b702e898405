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

/** Queues requests for one server and gives each a connection; owned by one event loop. */
final class ServerRequestQueue {
    private static final int QUEUE_LIMIT = 1_024;
    private static final long FIRST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
    private static final long SWEEP_MILLIS = 20;

    private final ServerId mServer;
    private final EventLoop mLoop;
    private final TargetConnector mConnector;
    private final LongSupplier mClock;
    private final Handler mHandler;
    private final FairQueue<PendingRequest> mQueue =
            new FairQueue<>(QUEUE_LIMIT, FIRST_INTERVAL_NANOS);
    private final ConnectionPoolState<TargetConnection> mPool;
    private final ConcurrencyLimit mLimit;
    private String mAddress;
    private boolean mSweepScheduled;

    /** Receives what the lane hands out. */
    interface Handler {
        /** Sends a request; the handler gives place and connection back. */
        void send(ServerRequestQueue lane, PendingRequest request, TargetConnection connection);

        /** Finds another way for requests that this server cannot take. */
        void reroute(ServerRequestQueue lane, List<PendingRequest> requests, String reason);
    }

    ServerRequestQueue(
            ServerId server,
            String address,
            int slots,
            ConnectionShare share,
            EventLoop loop,
            TargetConnector connector,
            UniformRandomProvider random,
            LongSupplier clock,
            Handler handler) {
        mServer = server;
        mAddress = address;
        mLoop = loop;
        mConnector = connector;
        mClock = clock;
        mHandler = handler;
        mPool = new ConnectionPoolState<>(share, random);
        mLimit = new ConcurrencyLimit(slots);
    }

    ServerId server() {
        return mServer;
    }

    int load() {
        return mLimit.inFlight() + mQueue.size();
    }

    boolean hasRoom() {
        return mLimit.inFlight() < mLimit.limit() && mQueue.size() == 0;
    }

    ConnectionPoolState<TargetConnection> pool() {
        return mPool;
    }

    ConcurrencyLimit limit() {
        return mLimit;
    }

    void setWeight(WorkspaceName workspace, double weight) {
        mQueue.setWeight(workspace, weight);
    }

    void setAddress(String address) {
        if (!address.equals(mAddress)) {
            mAddress = address;
            mPool.evictAll().forEach(TargetConnection::close);
        }
    }

    void offer(PendingRequest request) {
        long now = mClock.getAsLong();
        CallerRequest caller = request.request();
        OfferResult<PendingRequest> result =
                mQueue.offer(caller.workspace(), request, caller.deadlineNanos(), now);
        if (result instanceof OfferResult.Refused<PendingRequest> refused) {
            request.fail(refused.toException());
            return;
        }
        if (result instanceof OfferResult.Queued<PendingRequest> queued) {
            queued.displaced().ifPresent(this::failDisplaced);
        }
        pump();
    }

    private void failDisplaced(PendingRequest displaced) {
        displaced.fail(
                ErrorCode.OVERLOADED, OfferResult.Reason.TOTAL_LIMIT.message(), SWEEP_MILLIS);
    }

    /** Hands out requests while there are places and connections. */
    void pump() {
        long now = mClock.getAsLong();
        for (PendingRequest expired : mQueue.removeExpired(now)) {
            expired.fail(ErrorCode.DEADLINE_EXCEEDED, "the deadline passed in the queue", 0);
        }
        boolean going = true;
        while (going && mQueue.size() > 0 && mLimit.inFlight() < mLimit.limit()) {
            going = handOut(now);
        }
        if (mQueue.size() > 0 && !mSweepScheduled) {
            mSweepScheduled = true;
            mLoop.schedule(this::sweep, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void sweep() {
        mSweepScheduled = false;
        pump();
    }

    private boolean handOut(long now) {
        if (mPool.idle() == 0 && mPool.openings() >= mQueue.size()) {
            return false;
        }
        ConnectionAction<TargetConnection> action = mPool.acquire(now);
        if (action instanceof ConnectionAction.Open<TargetConnection>) {
            open();
            return true;
        }
        if (action instanceof ConnectionAction.Use<TargetConnection> use) {
            use(use.connection(), now);
            return true;
        }
        return false;
    }

    private void use(TargetConnection connection, long now) {
        if (!connection.isOpen()) {
            mPool.discard(connection);
            return;
        }
        Optional<PendingRequest> next = mQueue.poll(now);
        if (next.isEmpty() || !mLimit.tryAcquire()) {
            giveBack(connection);
            return;
        }
        mHandler.send(this, next.get(), connection);
    }

    private void open() {
        mConnector
                .connect(mAddress)
                .whenCompleteAsync(
                        (connection, failure) -> {
                            if (failure == null) {
                                opened(connection);
                            } else {
                                openFailed(failure.getMessage());
                            }
                        },
                        mLoop);
    }

    private void opened(TargetConnection connection) {
        connection.closed().thenRunAsync(() -> mPool.discard(connection), mLoop);
        mPool.opened(connection, mClock.getAsLong()).ifPresent(TargetConnection::close);
        pump();
    }

    private void openFailed(String reason) {
        mPool.openFailed(mClock.getAsLong());
        if (mPool.size() == 0) {
            mHandler.reroute(this, mQueue.removeIf(request -> true), reason);
        }
    }

    /** Takes a connection back; one that is closed is forgotten. */
    void giveBack(TargetConnection connection) {
        if (!connection.isOpen()) {
            mPool.discard(connection);
            return;
        }
        mPool.release(connection, mClock.getAsLong()).ifPresent(TargetConnection::close);
    }

    /** Closes a connection whose state is not known. */
    void discard(TargetConnection connection) {
        mPool.discard(connection);
        connection.close();
    }

    List<PendingRequest> removeIf(Predicate<PendingRequest> condition) {
        return mQueue.removeIf(condition);
    }

    void evictIdle() {
        mPool.evict(mClock.getAsLong()).forEach(TargetConnection::close);
    }

    void evictAll() {
        mPool.evictAll().forEach(TargetConnection::close);
    }
}
