package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.promotion.CandidateSelector;
import org.plantainferry.engine.promotion.PromotionOrder;
import org.plantainferry.engine.promotion.ReplicaState;
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
    private static final long STATUS_TIMEOUT_MILLIS = 350;
    private static final long CATCH_UP_TIMEOUT_MILLIS = 700;
    private static final long CATCH_UP_POLL_MILLIS = 60;
    private static final long ORDER_RETRY_MILLIS = 120;
    private static final long ORDER_TIMEOUT_MILLIS = 6_000;
    private static final long NEW_PRIMARY_TIMEOUT_MILLIS = 3_000;
    private static final long NEW_PRIMARY_POLL_MILLIS = 50;
    // Well before other instances use primaries of the group again on their own.
    private static final long FENCE_VALID_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final EventLoop mLoop;
    private final ReplacementContext mContext;
    private final String mService;
    private final ReplacementCause mCause;
    private final Runnable mEndListener;
    private final String mOldPrimaryId;
    private final long mStartedNanos;
    private final Optional<CatalogServer> mLastPrimary;
    private final PromotionClaimManager mClaimManager;
    private Optional<Long> mFenceToken = Optional.empty();
    private Optional<LogPosition> mFinalPosition = Optional.empty();
    private long mCatchUpDeadlineNanos;
    private boolean mReplicasQueried;
    private long mFencedNanos;
    private PromotionOrder mPreviousOrder = PromotionOrder.NONE;
    private PromotionOrder mNewestOrder = PromotionOrder.NONE;
    private boolean mUnansweredPromotion;

    PrimaryReplacement(
            EventLoop loop,
            ReplacementContext tools,
            String service,
            ReplacementCause cause,
            Optional<CatalogServer> last,
            Runnable ended) {
        mLoop = loop;
        mContext = tools;
        mService = service;
        mCause = cause;
        mLastPrimary = last;
        mEndListener = ended;
        mOldPrimaryId =
                tools.view().get().catalog().primary(service).map(CatalogServer::id).orElse("");
        mStartedNanos = tools.clock().getAsLong();
        mClaimManager = new PromotionClaimManager(loop, tools, service, this::isReplaced);
    }

    void start() {
        mClaimManager.acquire(this::onClaimAcquired);
    }

    private long now() {
        return mContext.clock().getAsLong();
    }

    private void schedule(long millis, Runnable action) {
        mLoop.schedule(action, millis, TimeUnit.MILLISECONDS);
    }

    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(now() - mStartedNanos);
    }

    private void end(String outcome) {
        GatewayEvent.PROMOTION_ENDED.log(mService, outcome, elapsedMillis());
        mEndListener.run();
    }

    /** Returns whether the group has another primary than at the start, which does not leave. */
    private boolean isReplaced() {
        return mContext.view()
                .get()
                .catalog()
                .primary(mService)
                .filter(primary -> !primary.draining())
                .filter(primary -> !primary.id().equals(mOldPrimaryId))
                .isPresent();
    }

    private void onClaimAcquired(Optional<String> failure) {
        if (failure.isPresent()) {
            end(failure.get());
            return;
        }
        mPreviousOrder = mClaimManager.currentClaim().newestOrder();
        mNewestOrder = mPreviousOrder;
        mUnansweredPromotion = mClaimManager.currentClaim().unansweredPromotion();
        if (mContext.guardsPrimaries()) {
            readInstances();
        } else if (mCause == ReplacementCause.LEAVING) {
            stepDown();
        } else {
            queryReplicasOnce();
        }
    }

    /** Reads which instances may use a primary without having seen the claim. */
    private void readInstances() {
        mContext.instances()
                .readAll()
                .whenComplete(
                        (page, failure) -> mLoop.execute(() -> onInstancesRead(page, failure)));
    }

    private void onInstancesRead(FeedPage<InstanceEntry> page, Throwable failure) {
        if (failure != null) {
            close("store: " + Futures.unwrap(failure).getMessage());
            return;
        }
        Map<String, InstanceEntry> members = new HashMap<>();
        for (FeedEntry<InstanceEntry> entry : page.entries()) {
            entry.value().ifPresent(value -> members.put(entry.name(), value));
        }
        members.remove(mContext.holder());
        long token = mClaimManager.currentClaim().fencingToken();
        mFenceToken = Optional.of(token);
        mContext.fenceExchange().block(mService, token, members, this::onFenceDecided);
        stepDown();
    }

    private void onFenceDecided(boolean isUnused) {
        if (isUnused) {
            queryReplicasOnce();
        } else if (!mReplicasQueried) {
            close("instances may still use the primary");
        }
    }

    /** Goes on as soon as the primary has stepped down or no instance uses it any more. */
    private void queryReplicasOnce() {
        if (!mReplicasQueried) {
            mReplicasQueried = true;
            mFencedNanos = now();
            queryReplicas();
        }
    }

    /** Stops commits at the primary, so that the replicas can receive all of them. */
    private void stepDown() {
        if (mLastPrimary.isEmpty()) {
            onStepDownFailed();
            return;
        }
        mContext.probe()
                .send(mLastPrimary.get(), new Statement.Status(), STATUS_TIMEOUT_MILLIS)
                .thenAccept(
                        answer ->
                                mLoop.execute(
                                        () -> onOldPrimaryStatus(mLastPrimary.get(), answer)));
    }

    private void onStepDownFailed() {
        if (!mContext.guardsPrimaries()) {
            queryReplicasOnce();
        }
    }

    private void onOldPrimaryStatus(CatalogServer primary, ProbeResult answer) {
        if (answer.status().isEmpty() || !isOnlyPossiblePrimary(answer.status().get())) {
            onStepDownFailed();
            return;
        }
        long term = answer.status().get().term() + 1;
        mContext.probe()
                .send(primary, new Statement.StepDown(term), STATUS_TIMEOUT_MILLIS)
                .thenAccept(stepped -> mLoop.execute(() -> onSteppedDown(stepped)));
    }

    /** Returns whether no other server of the group can lead when this one steps down. */
    private boolean isOnlyPossiblePrimary(ServerStatus status) {
        if (!mContext.guardsPrimaries()) {
            return true;
        }
        return status.primary()
                && !mNewestOrder.isPending()
                && status.term() >= mNewestOrder.term();
    }

    private void onSteppedDown(ProbeResult answer) {
        if (answer.status().isEmpty()) {
            onStepDownFailed();
            return;
        }
        mFinalPosition = answer.status().map(ServerStatus::received);
        mCatchUpDeadlineNanos = now() + TimeUnit.MILLISECONDS.toNanos(CATCH_UP_TIMEOUT_MILLIS);
        queryReplicasOnce();
    }

    private List<CatalogServer> eligibleReplicas() {
        return mContext.view().get().catalog().servers(mService).stream()
                .filter(server -> !server.id().equals(mOldPrimaryId))
                .filter(server -> !server.draining())
                .toList();
    }

    private void queryReplicas() {
        List<CatalogServer> replicas = eligibleReplicas();
        if (replicas.isEmpty()) {
            close("no replica is known");
            return;
        }
        ReplicaStateQuery.run(
                mLoop,
                mContext.probe(),
                replicas,
                STATUS_TIMEOUT_MILLIS,
                states -> onReplicaStates(replicas, states));
    }

    private void onReplicaStates(List<CatalogServer> replicas, List<ReplicaState> states) {
        if (isReplaced()) {
            close("replaced by another instance");
            return;
        }
        Optional<ReplicaState> leading = states.stream().filter(this::isOrderedPrimary).findFirst();
        if (leading.isPresent()) {
            // An earlier order whose outcome was not known has been carried out.
            onNewPrimaryFound(leading.get().term());
            return;
        }
        int synchronous = mContext.synchronousReplicas(mService);
        Optional<ReplicaState> candidate =
                selectCandidate(
                        states, CandidateSelector.select(states, replicas.size(), synchronous));
        if (candidate.isEmpty()) {
            close("no replica answered that may be ordered");
            return;
        }
        boolean isBehind =
                mFinalPosition.isPresent()
                        && candidate.get().received().compareTo(mFinalPosition.get()) < 0;
        if (isBehind && now() - mCatchUpDeadlineNanos < 0) {
            schedule(CATCH_UP_POLL_MILLIS, this::queryReplicas);
            return;
        }
        GatewayEvent.PROMOTION_ORDERED.log(
                mService,
                candidate.get().server().id(),
                mClaimManager.currentClaim().fencingToken(),
                candidate.get().received());
        recordOrderInClaim(candidate.get().server().id());
    }

    /** Returns whether a server leads that an earlier replacement has ordered. */
    private boolean isOrderedPrimary(ReplicaState state) {
        return mContext.guardsPrimaries()
                && state.primary()
                && mNewestOrder.isPending()
                && state.server().id().equals(mNewestOrder.server());
    }

    /** Returns the server to order: that of an earlier order while it may still be carried out. */
    private Optional<ReplicaState> selectCandidate(
            List<ReplicaState> states, Optional<ReplicaState> best) {
        boolean isUncertain = mNewestOrder.isPending() || mUnansweredPromotion;
        if (!mContext.guardsPrimaries() || !isUncertain) {
            return best;
        }
        Optional<ReplicaState> same =
                states.stream()
                        .filter(state -> state.server().id().equals(mNewestOrder.server()))
                        .findFirst();
        if (same.isPresent()) {
            return same;
        }
        if (mContext.fenceRegistry().mayStillBeExecuted(mService, mNewestOrder)) {
            return Optional.empty();
        }
        mUnansweredPromotion = false;
        return best;
    }

    /** Writes the order into the claim, so that instances that start later know of it. */
    private void recordOrderInClaim(String server) {
        if (!mContext.guardsPrimaries()) {
            promote(server);
            return;
        }
        PromotionOrder order =
                new PromotionOrder(mClaimManager.currentClaim().fencingToken() + 1, server, 0);
        mClaimManager.renew(
                order,
                mUnansweredPromotion,
                isOwn -> {
                    if (!isOwn) {
                        // Another instance that took the claim over blocks with a higher token.
                        releaseFence();
                        end("the claim could not be renewed");
                        return;
                    }
                    promoteWhileFenced(server, order);
                });
    }

    private void promoteWhileFenced(String server, PromotionOrder order) {
        if (now() - mFencedNanos >= FENCE_VALID_NANOS) {
            revertOrder(order);
            close("the instances were told too long ago");
            return;
        }
        mNewestOrder = order;
        releaseFence();
        promote(server);
    }

    private void promote(String server) {
        if (!mClaimManager.isExclusive()) {
            mClaimManager.renew(
                    mNewestOrder,
                    mUnansweredPromotion,
                    isOwn -> {
                        if (isOwn) {
                            promote(server);
                        } else {
                            end("the claim could not be renewed");
                        }
                    });
            return;
        }
        mContext.promotions()
                .promote(mService, server, mClaimManager.currentClaim())
                .whenComplete(
                        (result, failure) ->
                                mLoop.execute(() -> onPromotionResult(server, result, failure)));
    }

    private void onPromotionResult(String server, PromotionResult result, Throwable failure) {
        if (failure == null && result == PromotionResult.ACCEPTED) {
            awaitNewPrimary(server, now());
            return;
        }
        if (failure == null && result == PromotionResult.REFUSED) {
            revertOrder(mNewestOrder);
            close("the order was refused");
            return;
        }
        mUnansweredPromotion |= failure != null;
        if (isCatalogPrimary(server)) {
            awaitNewPrimary(server, now());
        } else if (elapsedMillis() > ORDER_TIMEOUT_MILLIS) {
            close("the platform does not take the order");
        } else {
            schedule(ORDER_RETRY_MILLIS, () -> promote(server));
        }
    }

    private boolean isCatalogPrimary(String server) {
        return mContext.view()
                .get()
                .catalog()
                .primary(mService)
                .filter(primary -> primary.id().equals(server))
                .isPresent();
    }

    private void awaitNewPrimary(String server, long orderedNanos) {
        if (TimeUnit.NANOSECONDS.toMillis(now() - orderedNanos) > NEW_PRIMARY_TIMEOUT_MILLIS) {
            close("the server does not say that it leads");
            return;
        }
        Optional<CatalogServer> entry = mContext.view().get().catalog().server(server);
        if (mContext.guardsPrimaries() && entry.isPresent()) {
            mContext.probe()
                    .send(entry.get(), new Statement.Status(), STATUS_TIMEOUT_MILLIS)
                    .thenAccept(
                            answer ->
                                    mLoop.execute(
                                            () ->
                                                    onNewPrimaryStatus(
                                                            server, orderedNanos, answer)));
            return;
        }
        if (isCatalogPrimary(server)) {
            close("done");
            return;
        }
        schedule(NEW_PRIMARY_POLL_MILLIS, () -> awaitNewPrimary(server, orderedNanos));
    }

    private void onNewPrimaryStatus(String server, long orderedNanos, ProbeResult answer) {
        Optional<ServerStatus> leading = answer.status().filter(ServerStatus::primary);
        if (leading.isPresent()) {
            onNewPrimaryFound(leading.get().term());
            return;
        }
        schedule(NEW_PRIMARY_POLL_MILLIS, () -> awaitNewPrimary(server, orderedNanos));
    }

    /** Tells all instances which server leads now, and its term. */
    private void onNewPrimaryFound(long term) {
        mNewestOrder = new PromotionOrder(mNewestOrder.token(), mNewestOrder.server(), term);
        close("done");
    }

    /** Forgets an order that cannot be carried out; what held before it holds again. */
    private void revertOrder(PromotionOrder order) {
        mNewestOrder =
                new PromotionOrder(
                        order.token() + 1, mPreviousOrder.server(), mPreviousOrder.term());
    }

    /** Lets the instances use the primary that the newest order allows. */
    private void releaseFence() {
        mFenceToken.ifPresent(
                token -> mContext.fenceExchange().release(mService, token, mNewestOrder));
    }

    /** Lets the instances use a primary again, closes the claim and ends. */
    private void close(String outcome) {
        releaseFence();
        mClaimManager.close(mNewestOrder, mUnansweredPromotion, () -> end(outcome));
    }
}
