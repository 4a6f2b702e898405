package org.plantainferry.gateway.traffic;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.plantainferry.engine.admission.OfferResult;
import org.plantainferry.engine.scheduling.DispatchState;
import org.plantainferry.engine.scheduling.DispatchStep;
import org.plantainferry.engine.scheduling.ServerDispatch;
import org.plantainferry.engine.scheduling.StatementQueue;
import org.plantainferry.engine.scheduling.Urgency;
import org.plantainferry.engine.scheduling.WaitingSnapshot;
import org.plantainferry.engine.scheduling.WaitingStatement;
import org.plantainferry.gateway.log.GatewayEvent;

/**
 * Holds the requests that wait for a connection to one server, and serves them in the order of
 * {@link ServerDispatch}.
 *
 * <p>Not thread-safe: used by the traffic thread only.
 */
final class WaiterDispatcher {
    private static final int MAX_WAITING = 1_024;
    private static final int MAX_WAITING_PER_WORKSPACE = 512;
    private static final long INITIAL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
    private static final long SWEEP_INTERVAL_MILLIS = 20;
    private static final long LOG_INTERVAL_MILLIS = 1_000;
    private static final String EXPIRED = "no connection was free in time";
    private static final String HOPELESS = "no connection would be free in time";

    private final EventLoop mLoop;
    private final LongSupplier mClock;
    private final String mServer;
    private final Connections mConnections;
    private final Random mRandom = new Random();
    private final StatementQueue<ConnectionWaiter> mQueue =
            new StatementQueue<>(MAX_WAITING, MAX_WAITING_PER_WORKSPACE, INITIAL_INTERVAL_NANOS);
    private final ServerDispatch<ConnectionWaiter> mDispatch = new ServerDispatch<>(mQueue);
    private boolean mSweepScheduled;
    private boolean mDispatchScheduled;
    private boolean mLogScheduled;
    private WaitingSnapshot mLogged = mQueue.snapshot();

    /** Gives access to the connections of the pool. */
    interface Connections {
        /** Returns whether another statement may be in progress; cheaper than the whole state. */
        boolean hasRoom();

        /** Returns the room and the connections. */
        DispatchState dispatchState();

        /** Gives an idle connection to a request. */
        void grant(ConnectionWaiter waiter);

        /** Opens a connection. */
        void open(String workspace);
    }

    WaiterDispatcher(EventLoop loop, LongSupplier clock, String server, Connections connections) {
        mLoop = loop;
        mClock = clock;
        mServer = server;
        mConnections = connections;
    }

    /** Adds a request, and serves or refuses it at once if that is possible. */
    void offer(ConnectionWaiter waiter, long serviceNanos) {
        long now = mClock.getAsLong();
        Urgency urgency = waiter.request().urgency();
        OfferResult<ConnectionWaiter> result =
                mQueue.offer(
                        new WaitingStatement<>(waiter, urgency, serviceNanos, now),
                        now,
                        mRandom.nextDouble());
        if (result instanceof OfferResult.Refused<ConnectionWaiter> refused) {
            scheduleLog();
            waiter.accept(
                    PooledConnectionResult.withoutRoom(
                            refused.reason().message(), refused.retryAfterMillis()));
            return;
        }
        Optional<ConnectionWaiter> displaced =
                ((OfferResult.Queued<ConnectionWaiter>) result).displaced();
        displaced.ifPresent(other -> refuse(other, OfferResult.Reason.TOTAL_LIMIT.message()));
        dispatch();
    }

    /** Serves the waiting requests as far as room and connections permit. */
    void dispatch() {
        boolean canContinue = true;
        while (canContinue && mQueue.size() > 0 && mConnections.hasRoom()) {
            Optional<DispatchStep<ConnectionWaiter>> step =
                    mDispatch.next(mConnections.dispatchState(), mClock.getAsLong());
            canContinue = step.isPresent();
            step.ifPresent(this::take);
        }
        scheduleSweep();
    }

    private void take(DispatchStep<ConnectionWaiter> step) {
        if (step instanceof DispatchStep.Grant<ConnectionWaiter> grant) {
            mConnections.grant(grant.statement());
        } else if (step instanceof DispatchStep.Open<ConnectionWaiter> open) {
            mConnections.open(open.workspace());
        }
    }

    /** Serves the waiting requests after the current task, in which a connection may come back. */
    void dispatchSoon() {
        if (mDispatchScheduled || mQueue.size() == 0) {
            return;
        }
        mDispatchScheduled = true;
        mLoop.execute(
                () -> {
                    mDispatchScheduled = false;
                    dispatch();
                });
    }

    /** Returns whether requests wait that may be served after the current task. */
    boolean isDispatchScheduled() {
        return mDispatchScheduled;
    }

    private void scheduleSweep() {
        if (mSweepScheduled || mQueue.size() == 0) {
            return;
        }
        mSweepScheduled = true;
        mLoop.schedule(this::sweep, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void sweep() {
        mSweepScheduled = false;
        // First, because it may find expired requests, after which nothing may be left to sweep.
        dispatch();
        long now = mClock.getAsLong();
        refuseAll(mQueue.removeExpired(now), EXPIRED);
        refuseAll(mQueue.removeHopeless(now), HOPELESS);
    }

    private void refuseAll(List<ConnectionWaiter> waiters, String reason) {
        waiters.forEach(waiter -> refuse(waiter, reason));
    }

    private void refuse(ConnectionWaiter waiter, String reason) {
        scheduleLog();
        long retryAfterMillis =
                mQueue.retryAfterMillis(
                        waiter.request().urgency(), mClock.getAsLong(), mRandom.nextDouble());
        waiter.accept(PooledConnectionResult.withoutRoom(reason, retryAfterMillis));
    }

    private void scheduleLog() {
        if (!mLogScheduled) {
            mLogScheduled = true;
            mLoop.schedule(this::logRefusals, LOG_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void logRefusals() {
        mLogScheduled = false;
        WaitingSnapshot snapshot = mQueue.snapshot();
        GatewayEvent.STATEMENTS_REFUSED.log(
                mServer,
                snapshot.refusedEarly() - mLogged.refusedEarly(),
                snapshot.displaced() - mLogged.displaced(),
                snapshot.expired() - mLogged.expired(),
                mQueue.size());
        mLogged = snapshot;
    }

    /** Ends the wait of a request that is of no use any more. */
    void cancel(ConnectionWaiter waiter) {
        if (!waiter.isEnded()) {
            waiter.cancel();
            mQueue.removeIf(other -> other == waiter);
        }
    }

    /** Refuses all waiting requests, for a reason other than the room of the server. */
    void rejectAll(String reason) {
        for (ConnectionWaiter waiter : mQueue.removeIf(waiter -> true)) {
            waiter.accept(PooledConnectionResult.refused(reason));
        }
    }

    /** Records that a connection was opened, and returns the request that gets it. */
    Optional<ConnectionWaiter> onOpened(String workspace) {
        return mDispatch.onOpened(workspace, mClock.getAsLong());
    }

    /** Records that a connection was not opened. */
    void onOpeningFailed(String workspace) {
        mDispatch.onOpeningFailed(workspace);
    }

    int openings() {
        return mDispatch.openings();
    }

    int size() {
        return mQueue.size();
    }

    WaitingSnapshot snapshot() {
        return mQueue.snapshot();
    }
}
