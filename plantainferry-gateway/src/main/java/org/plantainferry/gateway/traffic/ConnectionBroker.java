package org.plantainferry.gateway.traffic;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.engine.placement.HedgeBudget;
import org.plantainferry.engine.placement.ReadPlacement;
import org.plantainferry.gateway.statement.Statement;

/**
 * Acquires server connections for statements and sends statements over them.
 *
 * <p>Not thread-safe: used by the traffic thread only.
 */
final class ConnectionBroker {
    // Exceeds the duration of the longest statement behind a full queue at the server.
    private static final long PRIMARY_SILENCE_MILLIS = 300;

    private final EventLoop mLoop;
    private final ServerGroupRegistry mGroups;
    private final ReadPlacement mPlacement;
    private final HedgeBudget mHedgeBudget = new HedgeBudget();
    private final Random mRandom = new Random();
    private final LongSupplier mClock;
    private final Supplier<SuspectedPrimaryListener> mSuspectedPrimaryListener;
    private final PeerPositionSource mPeerPositions;
    private final PrimaryLeaseGuard mLeaseGuard;
    private final PlacementWaitingList mWaitingList;

    ConnectionBroker(
            EventLoop loop,
            ServerGroupRegistry groups,
            ReadPlacement placement,
            LongSupplier clock,
            Supplier<SuspectedPrimaryListener> suspectedPrimaryListener,
            PeerPositionSource peerPositions,
            PrimaryLeaseGuard leaseGuard) {
        mLoop = loop;
        mGroups = groups;
        mPlacement = placement;
        mClock = clock;
        mSuspectedPrimaryListener = suspectedPrimaryListener;
        mPeerPositions = peerPositions;
        mLeaseGuard = leaseGuard;
        mWaitingList = new PlacementWaitingList(loop, clock);
    }

    /**
     * Acquires a connection. The callback runs once, unless the acquisition is cancelled.
     *
     * @param excluded the servers that have already refused the statement; this call adds to the
     *     set, and clears it when no server is left
     */
    ConnectionAcquisition acquire(
            ConnectionRequest request,
            Set<String> excluded,
            Consumer<PreparedConnectionResult> callback) {
        ConnectionAcquisition acquisition =
                new ConnectionAcquisition(this, request, excluded, callback);
        acquisition.start();
        return acquisition;
    }

    /** Returns the requests for which no server can be chosen yet. */
    PlacementWaitingList waitingList() {
        return mWaitingList;
    }

    ServerGroup group(String service) {
        return mGroups.group(service);
    }

    ReadPlacement placement() {
        return mPlacement;
    }

    HedgeBudget hedgeBudget() {
        return mHedgeBudget;
    }

    /** Returns a random number from 0 to 1, to spread what would otherwise be done together. */
    double random() {
        return mRandom.nextDouble();
    }

    PeerPositionSource peerPositions() {
        return mPeerPositions;
    }

    /** Reports that the server that should be the primary does not answer. */
    void reportSuspectedPrimary(ServerConnectionPool pool) {
        mSuspectedPrimaryListener.get().onSuspected(pool.server().service(), pool.server().id());
    }

    /**
     * Sends a statement, and reports a primary that does not answer it in time.
     *
     * <p>A server that may no longer be used as the primary gets no statement. A commit that it
     * acknowledges counts as lost, because the log of the new primary may not contain it. A write
     * or commit that it refuses is reported after {@link RefusalConfirmation}.
     *
     * @param requestId the id of the caller's request; empty for a statement that the gateway
     *     issues itself
     * @param callback runs once, with the answer or with a reply of kind {@link
     *     ServerReply.Kind#LOST} or {@link ServerReply.Kind#MISMATCHED}
     */
    void send(
            PreparedConnection prepared,
            ConnectionPurpose purpose,
            Optional<String> requestId,
            Optional<LogPosition> required,
            Statement statement,
            Consumer<ServerReply> callback) {
        if (!prepared.pool().acceptsStatements()) {
            callback.accept(ServerReply.notSent("the failure domain of the server is evacuated"));
            return;
        }
        if (!purpose.isAtPrimary()) {
            prepared.connection().send(requestId, required, statement, callback);
            return;
        }
        if (!mayUseAsPrimary(prepared.pool())) {
            callback.accept(ServerReply.notSent("the primary may be replaced"));
            return;
        }
        boolean isCommit =
                purpose == ConnectionPurpose.WRITE || statement instanceof Statement.Commit;
        long sent = now();
        ScheduledFuture<?> silence =
                schedule(PRIMARY_SILENCE_MILLIS, () -> reportIfSilent(prepared.pool(), sent));
        prepared.connection()
                .send(
                        requestId,
                        required,
                        statement,
                        reply -> {
                            silence.cancel(false);
                            if (isCommit) {
                                onCommitAnswered(prepared, reply, callback);
                            } else {
                                callback.accept(reply);
                            }
                        });
    }

    private void onCommitAnswered(
            PreparedConnection prepared, ServerReply reply, Consumer<ServerReply> callback) {
        if (reply.isDone() && !mayUseAsPrimary(prepared.pool())) {
            callback.accept(ServerReply.lost("the primary may be replaced"));
            return;
        }
        boolean isPromise =
                reply.isFailed() && (reply.code().isNotRun() || reply.code().guaranteesNoEffect());
        if (!isPromise) {
            callback.accept(reply);
            return;
        }
        if (!prepared.pool().acceptsStatements()) {
            callback.accept(ServerReply.mismatched("the refusal cannot be confirmed"));
            return;
        }
        RefusalConfirmation.run(
                prepared.connection(),
                confirmed ->
                        callback.accept(
                                confirmed
                                        ? reply
                                        : ServerReply.mismatched("the refusal was not confirmed")));
    }

    /** Returns whether the primary of a service is lost and no replica may be promoted now. */
    boolean isPrimaryLost(String service) {
        return mLeaseGuard.isPrimaryLost(service);
    }

    /** Returns whether this instance may currently use any primary of a service. */
    boolean holdsPrimaryLease(String service) {
        return mLeaseGuard.isLeaseHeld(service);
    }

    private boolean mayUseAsPrimary(ServerConnectionPool pool) {
        return mLeaseGuard.mayUseAsPrimary(pool.server().service(), pool.server().id());
    }

    private void reportIfSilent(ServerConnectionPool pool, long sentNanos) {
        if (!pool.health().hasAnsweredSince(sentNanos)) {
            reportSuspectedPrimary(pool);
        }
    }

    /** Records the log position of a commit for later reads of the session and of this instance. */
    void recordCommit(OperationContext context, long sentNanos, ServerReply reply) {
        String service = context.route().service();
        reply.position()
                .ifPresent(
                        position -> {
                            context.positions().record(service, position);
                            group(service).samples().record(sentNanos, position);
                        });
    }

    /** Records the position of the primary at the begin of a transaction, for later reads. */
    void recordPositionAtBegin(PreparedConnection prepared) {
        prepared.positionAtBegin()
                .ifPresent(
                        sample ->
                                group(prepared.pool().server().service())
                                        .samples()
                                        .record(sample.sentNanos(), sample.position()));
    }

    long now() {
        return mClock.getAsLong();
    }

    /**
     * Schedules an action. Callers cancel it once it is obsolete, to avoid a needless wake-up of
     * the event loop.
     */
    ScheduledFuture<?> schedule(long millis, Runnable action) {
        return mLoop.schedule(action, millis, TimeUnit.MILLISECONDS);
    }
}
