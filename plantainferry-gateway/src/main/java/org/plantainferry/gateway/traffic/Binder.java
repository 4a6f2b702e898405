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
final class Binder {
    // Longer than the longest statement together with a full queue at the server.
    private static final long SILENCE_MILLIS = 300;

    private final EventLoop mLoop;
    private final GroupDirectory mGroups;
    private final ReadPlacement mPlacement;
    private final HedgeBudget mHedges = new HedgeBudget();
    private final LongSupplier mClock;
    private final Supplier<SuspectedPrimaryListener> mSuspicion;
    private final PeerPositionSource mPositions;
    private final PrimaryLeaseGuard mGuard;

    Binder(
            EventLoop loop,
            GroupDirectory groups,
            ReadPlacement placement,
            LongSupplier clock,
            Supplier<SuspectedPrimaryListener> suspicion,
            PeerPositionSource positions,
            PrimaryLeaseGuard guard) {
        mLoop = loop;
        mGroups = groups;
        mPlacement = placement;
        mClock = clock;
        mSuspicion = suspicion;
        mPositions = positions;
        mGuard = guard;
    }

    /**
     * Looks for a connection; the callback runs once.
     *
     * @param excluded servers that already refused the statement; the set grows
     */
    void bind(BindRequest request, Set<String> excluded, Consumer<BindResult> callback) {
        new BindAttempt(this, request, excluded, callback).start();
    }

    GroupState group(String service) {
        return mGroups.group(service);
    }

    ReadPlacement placement() {
        return mPlacement;
    }

    HedgeBudget hedges() {
        return mHedges;
    }

    PeerPositionSource positions() {
        return mPositions;
    }

    /** Reports that a server which should be the primary does not answer. */
    void suspect(ServerPool pool) {
        mSuspicion.get().onSuspected(pool.server().service(), pool.server().id());
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
            BoundLink bound,
            BindPurpose purpose,
            Optional<String> requestId,
            Optional<LogPosition> required,
            Statement statement,
            Consumer<ServerReply> callback) {
        if (!purpose.isAtPrimary()) {
            bound.link().send(requestId, required, statement, callback);
            return;
        }
        if (!mayUse(bound.pool())) {
            callback.accept(ServerReply.withheld("the primary may be replaced"));
            return;
        }
        boolean isCommit = purpose == BindPurpose.WRITE || statement instanceof Statement.Commit;
        long sent = now();
        ScheduledFuture<?> silence = later(SILENCE_MILLIS, () -> suspectSilent(bound.pool(), sent));
        bound.link()
                .send(
                        requestId,
                        required,
                        statement,
                        reply -> {
                            silence.cancel(false);
                            boolean isDoubtful =
                                    isCommit && reply.isDone() && !mayUse(bound.pool());
                            callback.accept(
                                    isDoubtful
                                            ? ServerReply.lost("the primary may be replaced")
                                            : reply);
                        });
    }

    /** Returns whether this instance may use the primary of a service at all. */
    boolean mayUsePrimary(String service) {
        return mGuard.isLeaseHeld(service);
    }

    private boolean mayUse(ServerPool pool) {
        return mGuard.mayUseAsPrimary(pool.server().service(), pool.server().id());
    }

    private void suspectSilent(ServerPool pool, long sentNanos) {
        if (!pool.health().hasAnsweredSince(sentNanos)) {
            suspect(pool);
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
    ScheduledFuture<?> later(long millis, Runnable action) {
        return mLoop.schedule(action, millis, TimeUnit.MILLISECONDS);
    }
}
