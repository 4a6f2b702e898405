package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.promotion.CandidateChoice;
import org.plantainferry.engine.promotion.ReplicaState;
import org.plantainferry.engine.promotion.Succession;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.spi.FeedEntry;
import org.plantainferry.gateway.spi.FeedPage;
import org.plantainferry.gateway.spi.InstanceEntry;
import org.plantainferry.gateway.spi.PromotionResult;
import org.plantainferry.gateway.statement.ServerStatus;
import org.plantainferry.gateway.statement.Statement;
import org.plantainferry.gateway.traffic.ProbeResult;
import org.plantainferry.network.http.Futures;

/**
 * Replaces the primary of one group, step by step.
 *
 * <p>The steps are: claim the group in the store, which gives a fencing token of its own; make the
 * primary step down, or else all instances stop to use primaries of the group; ask the replicas how
 * far they have received; write into the claim which one is ordered; order it to lead; wait until
 * it leads. Each order keeps its candidate, so that an order whose answer was lost does no harm
 * when it is carried out late. Used by the control thread only.
 */
final class PrimaryReplacement {
    private static final long STATUS_MILLIS = 350;
    private static final long CATCH_UP_MILLIS = 700;
    private static final long CATCH_UP_POLL_MILLIS = 60;
    private static final long ORDER_REPEAT_MILLIS = 120;
    private static final long ORDERS_END_MILLIS = 6_000;
    private static final long LEADING_MILLIS = 3_000;
    private static final long LEADING_POLL_MILLIS = 50;
    // Well before other instances use primaries of the group again on their own.
    private static final long UNUSED_TRUSTED_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final EventLoop mLoop;
    private final ReplacementTools mTools;
    private final String mService;
    private final ReplacementCause mCause;
    private final Runnable mEnded;
    private final String mOldPrimary;
    private final long mStartedNanos;
    private final Optional<CatalogServer> mLast;
    private final ReplacementClaim mClaim;
    private Optional<Long> mBlockedWith = Optional.empty();
    private Optional<LogPosition> mLeft = Optional.empty();
    private long mCatchUpUntil;
    private boolean mAsking;
    private long mUnusedNanos;
    private Succession mBefore = Succession.NONE;
    private Succession mNewestOrder = Succession.NONE;
    private boolean mLateOrders;

    PrimaryReplacement(
            EventLoop loop,
            ReplacementTools tools,
            String service,
            ReplacementCause cause,
            Optional<CatalogServer> last,
            Runnable ended) {
        mLoop = loop;
        mTools = tools;
        mService = service;
        mCause = cause;
        mLast = last;
        mEnded = ended;
        mOldPrimary =
                tools.view().get().catalog().primary(service).map(CatalogServer::id).orElse("");
        mStartedNanos = tools.clock().getAsLong();
        mClaim = new ReplacementClaim(loop, tools, service, this::isReplaced);
    }

    void start() {
        mClaim.take(this::onClaim);
    }

    private long now() {
        return mTools.clock().getAsLong();
    }

    private void later(long millis, Runnable action) {
        mLoop.schedule(action, millis, TimeUnit.MILLISECONDS);
    }

    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(now() - mStartedNanos);
    }

    private void end(String outcome) {
        GatewayEvent.PROMOTION_ENDED.log(mService, outcome, elapsedMillis());
        mEnded.run();
    }

    /** Returns whether the group has another primary than at the start, which does not leave. */
    private boolean isReplaced() {
        return mTools.view()
                .get()
                .catalog()
                .primary(mService)
                .filter(primary -> !primary.draining())
                .filter(primary -> !primary.id().equals(mOldPrimary))
                .isPresent();
    }

    private void onClaim(Optional<String> failure) {
        if (failure.isPresent()) {
            end(failure.get());
            return;
        }
        mBefore = mClaim.current().succession();
        mNewestOrder = mBefore;
        mLateOrders = mClaim.current().lateOrders();
        if (mTools.guardsPrimaries()) {
            readMembers();
        } else if (mCause == ReplacementCause.LEAVING) {
            stepDown();
        } else {
            askReplicasOnce();
        }
    }

    /** Reads which instances may use a primary without having seen the claim. */
    private void readMembers() {
        mTools.instances()
                .readAll()
                .whenComplete((page, failure) -> mLoop.execute(() -> onMembers(page, failure)));
    }

    private void onMembers(FeedPage<InstanceEntry> page, Throwable failure) {
        if (failure != null) {
            close("store: " + Futures.unwrap(failure).getMessage());
            return;
        }
        Map<String, InstanceEntry> members = new HashMap<>();
        for (FeedEntry<InstanceEntry> entry : page.entries()) {
            entry.value().ifPresent(value -> members.put(entry.name(), value));
        }
        members.remove(mTools.holder());
        long token = mClaim.current().fencingToken();
        mBlockedWith = Optional.of(token);
        mTools.fences().block(mService, token, members, this::onUnused);
        stepDown();
    }

    private void onUnused(boolean isUnused) {
        if (isUnused) {
            askReplicasOnce();
        } else if (!mAsking) {
            close("instances may still use the primary");
        }
    }

    /** Goes on as soon as the primary has stepped down or no instance uses it any more. */
    private void askReplicasOnce() {
        if (!mAsking) {
            mAsking = true;
            mUnusedNanos = now();
            askReplicas();
        }
    }

    /** Stops commits at the primary, so that the replicas can receive all of them. */
    private void stepDown() {
        if (mLast.isEmpty()) {
            onNotSteppedDown();
            return;
        }
        mTools.probe()
                .send(mLast.get(), new Statement.Status(), STATUS_MILLIS)
                .thenAccept(answer -> mLoop.execute(() -> onOldStatus(mLast.get(), answer)));
    }

    private void onNotSteppedDown() {
        if (!mTools.guardsPrimaries()) {
            askReplicasOnce();
        }
    }

    private void onOldStatus(CatalogServer primary, ProbeResult answer) {
        if (answer.status().isEmpty() || !isOnlyPrimary(answer.status().get())) {
            onNotSteppedDown();
            return;
        }
        long term = answer.status().get().term() + 1;
        mTools.probe()
                .send(primary, new Statement.StepDown(term), STATUS_MILLIS)
                .thenAccept(stepped -> mLoop.execute(() -> onSteppedDown(stepped)));
    }

    /** Returns whether no other server of the group can lead when this one steps down. */
    private boolean isOnlyPrimary(ServerStatus status) {
        if (!mTools.guardsPrimaries()) {
            return true;
        }
        return status.primary()
                && !mNewestOrder.isPending()
                && status.term() >= mNewestOrder.term();
    }

    private void onSteppedDown(ProbeResult answer) {
        if (answer.status().isEmpty()) {
            onNotSteppedDown();
            return;
        }
        mLeft = answer.status().map(ServerStatus::received);
        mCatchUpUntil = now() + TimeUnit.MILLISECONDS.toNanos(CATCH_UP_MILLIS);
        askReplicasOnce();
    }

    private List<CatalogServer> replicas() {
        return mTools.view().get().catalog().servers(mService).stream()
                .filter(server -> !server.id().equals(mOldPrimary))
                .filter(server -> !server.draining())
                .toList();
    }

    private void askReplicas() {
        List<CatalogServer> replicas = replicas();
        if (replicas.isEmpty()) {
            close("no replica is known");
            return;
        }
        ReplicaSurvey.run(
                mLoop,
                mTools.probe(),
                replicas,
                STATUS_MILLIS,
                states -> onStates(replicas, states));
    }

    private void onStates(List<CatalogServer> replicas, List<ReplicaState> states) {
        if (isReplaced()) {
            close("replaced by another instance");
            return;
        }
        Optional<ReplicaState> leading = states.stream().filter(this::isSuccessor).findFirst();
        if (leading.isPresent()) {
            // An earlier order whose outcome was not known has been carried out.
            onLeading(leading.get().term());
            return;
        }
        int synchronous = mTools.synchronousReplicas(mService);
        Optional<ReplicaState> candidate =
                candidate(states, CandidateChoice.choose(states, replicas.size(), synchronous));
        if (candidate.isEmpty()) {
            close("no replica answered that may be ordered");
            return;
        }
        boolean isBehind =
                mLeft.isPresent() && candidate.get().received().compareTo(mLeft.get()) < 0;
        if (isBehind && now() - mCatchUpUntil < 0) {
            later(CATCH_UP_POLL_MILLIS, this::askReplicas);
            return;
        }
        GatewayEvent.PROMOTION_ORDERED.log(
                mService,
                candidate.get().server().id(),
                mClaim.current().fencingToken(),
                candidate.get().received());
        recordOrder(candidate.get().server().id());
    }

    /** Returns whether a server leads that an earlier replacement has ordered. */
    private boolean isSuccessor(ReplicaState state) {
        return mTools.guardsPrimaries()
                && state.primary()
                && mNewestOrder.isPending()
                && state.server().id().equals(mNewestOrder.server());
    }

    /** Returns the server to order: that of an earlier order while it may still be carried out. */
    private Optional<ReplicaState> candidate(
            List<ReplicaState> states, Optional<ReplicaState> best) {
        boolean isUncertain = mNewestOrder.isPending() || mLateOrders;
        if (!mTools.guardsPrimaries() || !isUncertain) {
            return best;
        }
        Optional<ReplicaState> same =
                states.stream()
                        .filter(state -> state.server().id().equals(mNewestOrder.server()))
                        .findFirst();
        if (same.isPresent()) {
            return same;
        }
        if (mTools.board().mayBeCarriedOut(mService, mNewestOrder)) {
            return Optional.empty();
        }
        mLateOrders = false;
        return best;
    }

    /** Writes the order into the claim, so that instances that start later know of it. */
    private void recordOrder(String server) {
        if (!mTools.guardsPrimaries()) {
            order(server);
            return;
        }
        Succession order = new Succession(mClaim.current().fencingToken() + 1, server, 0);
        mClaim.renew(
                order,
                mLateOrders,
                isOwn -> {
                    if (!isOwn) {
                        // Another instance that took the claim over blocks with a higher token.
                        release();
                        end("the claim could not be renewed");
                        return;
                    }
                    orderWhileUnused(server, order);
                });
    }

    private void orderWhileUnused(String server, Succession order) {
        if (now() - mUnusedNanos >= UNUSED_TRUSTED_NANOS) {
            withdraw(order);
            close("the instances were told too long ago");
            return;
        }
        mNewestOrder = order;
        release();
        order(server);
    }

    private void order(String server) {
        if (!mClaim.isTrusted()) {
            mClaim.renew(
                    mNewestOrder,
                    mLateOrders,
                    isOwn -> {
                        if (isOwn) {
                            order(server);
                        } else {
                            end("the claim could not be renewed");
                        }
                    });
            return;
        }
        mTools.orders()
                .promote(mService, server, mClaim.current())
                .whenComplete(
                        (result, failure) ->
                                mLoop.execute(() -> onOrdered(server, result, failure)));
    }

    private void onOrdered(String server, PromotionResult result, Throwable failure) {
        if (failure == null && result == PromotionResult.ACCEPTED) {
            awaitLeading(server, now());
            return;
        }
        if (failure == null && result == PromotionResult.REFUSED) {
            withdraw(mNewestOrder);
            close("the order was refused");
            return;
        }
        mLateOrders |= failure != null;
        if (isLeading(server)) {
            awaitLeading(server, now());
        } else if (elapsedMillis() > ORDERS_END_MILLIS) {
            close("the platform does not take the order");
        } else {
            later(ORDER_REPEAT_MILLIS, () -> order(server));
        }
    }

    private boolean isLeading(String server) {
        return mTools.view()
                .get()
                .catalog()
                .primary(mService)
                .filter(primary -> primary.id().equals(server))
                .isPresent();
    }

    private void awaitLeading(String server, long orderedNanos) {
        if (TimeUnit.NANOSECONDS.toMillis(now() - orderedNanos) > LEADING_MILLIS) {
            close("the server does not say that it leads");
            return;
        }
        Optional<CatalogServer> entry = mTools.view().get().catalog().server(server);
        if (mTools.guardsPrimaries() && entry.isPresent()) {
            mTools.probe()
                    .send(entry.get(), new Statement.Status(), STATUS_MILLIS)
                    .thenAccept(
                            answer ->
                                    mLoop.execute(() -> onNewStatus(server, orderedNanos, answer)));
            return;
        }
        if (isLeading(server)) {
            close("done");
            return;
        }
        later(LEADING_POLL_MILLIS, () -> awaitLeading(server, orderedNanos));
    }

    private void onNewStatus(String server, long orderedNanos, ProbeResult answer) {
        Optional<ServerStatus> leading = answer.status().filter(ServerStatus::primary);
        if (leading.isPresent()) {
            onLeading(leading.get().term());
            return;
        }
        later(LEADING_POLL_MILLIS, () -> awaitLeading(server, orderedNanos));
    }

    /** Tells all instances which server leads now, and its term. */
    private void onLeading(long term) {
        mNewestOrder = new Succession(mNewestOrder.token(), mNewestOrder.server(), term);
        close("done");
    }

    /** Forgets an order that cannot be carried out; what held before it holds again. */
    private void withdraw(Succession order) {
        mNewestOrder = new Succession(order.token() + 1, mBefore.server(), mBefore.term());
    }

    /** Lets the instances use the primary that the newest order allows. */
    private void release() {
        mBlockedWith.ifPresent(token -> mTools.fences().release(mService, token, mNewestOrder));
    }

    /** Lets the instances use a primary again, closes the claim and ends. */
    private void close(String outcome) {
        release();
        mClaim.close(mNewestOrder, mLateOrders, () -> end(outcome));
    }
}
