package org.plantainferry.gateway.traffic;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
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
 * Finds server connections for statements.
 *
 * <p>Used by the traffic thread only.
 */
final class ConnectionBroker {
    // Longer than the longest statement together with a full queue at the server.
    private static final long PRIMARY_SILENCE_MILLIS = 300;

    private final EventLoop mLoop;
    private final ServerGroupRegistry mGroups;
    private final ReadPlacement mPlacement;
    private final HedgeBudget mHedgeBudget = new HedgeBudget();
    private final LongSupplier mClock;
    private final Supplier<SuspectedPrimaryListener> mSuspectedPrimaryListener;
    private final PeerPositionSource mPeerPositions;
    private final PrimaryLeaseGuard mLeaseGuard;

    ConnectionBroker(
            EventLoop loop,
            ServerGroupRegistry groups,
            ReadPlacement placement,
            LongSupplier clock,
            Supplier<SuspectedPrimaryListener> suspicion,
            PeerPositionSource positions,
            PrimaryLeaseGuard guard) {
        mLoop = loop;
        mGroups = groups;
        mPlacement = placement;
        mClock = clock;
        mSuspectedPrimaryListener = suspicion;
        mPeerPositions = positions;
        mLeaseGuard = guard;
    }

    /**
     * Looks for a connection; the callback runs once.
     *
     * @param excluded servers that already refused the statement; the set grows
     */
    void acquire(
            ConnectionRequest request,
            Set<String> excluded,
            Consumer<PreparedConnectionResult> callback) {
        new ConnectionAcquisition(this, request, excluded, callback).start();
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

    PeerPositionSource peerPositions() {
        return mPeerPositions;
    }

    /** Reports that a server which should be the primary does not answer. */
    void reportSuspectedPrimary(ServerConnectionPool pool) {
        mSuspectedPrimaryListener.get().onSuspected(pool.server().service(), pool.server().id());
    }

    /**
     * Sends a statement, and suspects a primary that leaves it without an answer.
     *
     * <p>A primary that may be replaced gets no statement, and a commit that it answers counts as
     * lost, because it may be missing in the log of the new one.
     *
     * @param requestId the id of the caller's request; empty for a statement of this system
     * @param callback runs once, with the answer or with its loss
     */
    void send(
            PreparedConnection bound,
            ConnectionPurpose purpose,
            Optional<String> requestId,
            Optional<LogPosition> required,
            Statement statement,
            Consumer<ServerReply> callback) {
        if (!purpose.isAtPrimary()) {
            bound.connection().send(requestId, required, statement, callback);
            return;
        }
        if (!mayUseAsPrimary(bound.pool())) {
            callback.accept(ServerReply.notSent("the primary may be replaced"));
            return;
        }
        boolean isCommit =
                purpose == ConnectionPurpose.WRITE || statement instanceof Statement.Commit;
        long sent = now();
        ScheduledFuture<?> silence =
                schedule(PRIMARY_SILENCE_MILLIS, () -> reportIfSilent(bound.pool(), sent));
        bound.connection()
                .send(
                        requestId,
                        required,
                        statement,
                        reply -> {
                            silence.cancel(false);
                            boolean isDoubtful =
                                    isCommit && reply.isDone() && !mayUseAsPrimary(bound.pool());
                            callback.accept(
                                    isDoubtful
                                            ? ServerReply.lost("the primary may be replaced")
                                            : reply);
                        });
    }

    /** Returns whether this instance may use the primary of a service at all. */
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

    /** Remembers the position of a commit, for later reads of the session and of this instance. */
    void recordCommit(OperationContext context, long sentNanos, ServerReply reply) {
        String service = context.route().service();
        reply.position()
                .ifPresent(
                        position -> {
                            context.positions().record(service, position);
                            group(service).samples().record(sentNanos, position);
                        });
    }

    long now() {
        return mClock.getAsLong();
    }

    /** Runs an action later; cancel it when it has become pointless, to save a wake-up. */
    ScheduledFuture<?> schedule(long millis, Runnable action) {
        return mLoop.schedule(action, millis, TimeUnit.MILLISECONDS);
    }
}
