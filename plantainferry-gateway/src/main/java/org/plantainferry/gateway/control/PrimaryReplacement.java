package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.engine.catalog.CatalogServer;
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
 * Replaces the primary of one group.
 *
 * <p>The steps are:
 *
 * <ol>
 *   <li>Claim the group in the store, which yields a unique fencing token.
 *   <li>Make the primary step down, or else make all instances stop using primaries of the group.
 *   <li>Query the replicas for their log positions and select a candidate.
 *   <li>Record the promotion order for the candidate in the claim.
 *   <li>Call the platform to promote the candidate.
 *   <li>Wait until the candidate is the primary.
 * </ol>
 *
 * <p>While an earlier order may still be executed, further orders name the same server, so that an
 * order whose answer was lost does no harm if the platform executes it late. Used by the control
 * thread only.
 */
final class PrimaryReplacement {
    private static final long CATCH_UP_TIMEOUT_MILLIS = 700;
    private static final long CATCH_UP_POLL_MILLIS = 60;
    private static final long ORDER_RETRY_MILLIS = 120;
    private static final long ORDER_TIMEOUT_MILLIS = 6_000;
    // More than an order needs until its timeout, unless each renewal itself takes too long.
    private static final int MAX_RENEWALS = 20;
    private static final long NEW_PRIMARY_TIMEOUT_MILLIS = 3_000;
    private static final long NEW_PRIMARY_POLL_MILLIS = 50;
    // Must be well below the time after which other instances release the group by themselves.
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
    private final CandidateSearch mSearch;
    private Optional<Long> mFenceToken = Optional.empty();
    private Optional<LogPosition> mFinalPosition = Optional.empty();
    private long mCatchUpDeadlineNanos;
    private boolean mReplicasQueried;
    private long mFencedNanos;
    private PromotionOrder mPreviousOrder = PromotionOrder.NONE;
    private PromotionOrder mNewestOrder = PromotionOrder.NONE;
    private boolean mUnansweredPromotion;
    private int mRenewalCount;

    PrimaryReplacement(
            EventLoop loop,
            ReplacementContext context,
            String service,
            ReplacementCause cause,
            Optional<CatalogServer> lastPrimary,
            Runnable endListener) {
        mLoop = loop;
        mContext = context;
        mService = service;
        mCause = cause;
        mLastPrimary = lastPrimary;
        mEndListener = endListener;
        mOldPrimaryId =
                context.view().get().catalog().primary(service).map(CatalogServer::id).orElse("");
        mStartedNanos = context.clock().getAsLong();
        mClaimManager = new PromotionClaimManager(loop, context, service, this::isReplaced);
        mSearch = new CandidateSearch(loop, context, service, mOldPrimaryId);
    }

    /**
     * Starts the replacement.
     *
     * <p>Where commits wait for replicas, a primary that is lost may have been the only one to
     * answer with all of them. Then no claim is made, and callers are told at once.
     */
    void start() {
        boolean isLost =
                mCause == ReplacementCause.MISSING || mCause == ReplacementCause.UNREACHABLE;
        if (!isLost || mContext.memberships().group(mService).isEmpty()) {
            mClaimManager.acquire(this::onClaimAcquired);
            return;
        }
        mSearch.run(Optional.empty(), this::onFirstOutcome);
    }

    private void onFirstOutcome(Optional<CandidateSearch.Outcome> outcome) {
        if (outcome.flatMap(CandidateSearch.Outcome::candidate).isPresent()) {
            mContext.guard().onPrimaryReplaceable(mService);
            mClaimManager.acquire(this::onClaimAcquired);
            return;
        }
        mContext.guard().onPrimaryLost(mService);
        end("replicas that may have acknowledged commits did not answer");
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

    /** Returns whether the group has a primary that is not leaving and is not the old one. */
    private boolean isReplaced() {
        return mContext.view()
                .get()
                .catalog()
                .primary(mService)
                .filter(this::mayLead)
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
        } else if (mCause == ReplacementCause.LEAVING || mCause == ReplacementCause.EVACUATED) {
            stepDown();
        } else {
            queryReplicasOnce();
        }
    }

    /** Reads the instances that may use a primary without having seen the claim. */
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
        if (!mContext.epochs().isCurrent(page.revision().epoch())) {
            close("store: the epoch is missing or has ended");
            return;
        }
        Map<String, InstanceEntry> instances = new HashMap<>();
        for (FeedEntry<InstanceEntry> entry : page.entries()) {
            entry.value().ifPresent(value -> instances.put(entry.name(), value));
        }
        instances.remove(mContext.holder());
        long token = mClaimManager.currentClaim().fencingToken();
        mFenceToken = Optional.of(token);
        mContext.fenceExchange().block(mService, token, instances, this::onFenceDecided);
        stepDown();
    }

    private void onFenceDecided(boolean isFenced) {
        if (isFenced) {
            queryReplicasOnce();
        } else if (!mReplicasQueried) {
            close("not all instances could be fenced");
        }
    }

    /** Queries the replicas after the primary has stepped down or is fenced, whichever is first. */
    private void queryReplicasOnce() {
        if (!mReplicasQueried) {
            mReplicasQueried = true;
            mFencedNanos = now();
            queryReplicas();
        }
    }

    /** Makes the primary step down, so that the replicas can receive all of its commits. */
    private void stepDown() {
        if (mLastPrimary.isEmpty()) {
            onSteppedDown(Optional.empty());
            return;
        }
        new PrimaryStepDown(mLoop, mContext, mLastPrimary.get(), mNewestOrder, this::onSteppedDown)
                .start();
    }

    private void onSteppedDown(Optional<LogPosition> finalPosition) {
        if (finalPosition.isPresent()) {
            mFinalPosition = finalPosition;
            mCatchUpDeadlineNanos = now() + TimeUnit.MILLISECONDS.toNanos(CATCH_UP_TIMEOUT_MILLIS);
        }
        if (finalPosition.isPresent() || !mContext.guardsPrimaries()) {
            queryReplicasOnce();
        }
    }

    private boolean mayLead(CatalogServer server) {
        return mContext.view().get().mayLead(server);
    }

    private void queryReplicas() {
        mSearch.run(
                mFinalPosition,
                outcome ->
                        outcome.ifPresentOrElse(
                                this::onOutcome, () -> close("no replica could be queried")));
    }

    private void onOutcome(CandidateSearch.Outcome outcome) {
        List<ReplicaState> states = outcome.states();
        if (isReplaced()) {
            close("replaced by another instance");
            return;
        }
        Optional<ReplicaState> newPrimary =
                states.stream().filter(this::isOrderedPrimary).findFirst();
        if (newPrimary.isPresent()) {
            // An earlier order whose outcome was unknown has been executed.
            onNewPrimaryFound(newPrimary.get().term());
            return;
        }
        Optional<ReplicaState> candidate = selectCandidate(states, outcome.candidate());
        if (candidate.isEmpty()) {
            close("no replica that may be promoted answered");
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

    /** Returns whether a server became the primary by the order of an earlier replacement. */
    private boolean isOrderedPrimary(ReplicaState state) {
        return mContext.guardsPrimaries()
                && state.primary()
                && mNewestOrder.isPending()
                && state.server().id().equals(mNewestOrder.server());
    }

    /**
     * Returns the server to promote: the best one, or that of an earlier order that may still be
     * executed.
     *
     * <p>Empty if that server did not answer and its order may still be executed.
     */
    private Optional<ReplicaState> selectCandidate(
            List<ReplicaState> states, Optional<ReplicaState> best) {
        boolean isUncertain = mNewestOrder.isPending() || mUnansweredPromotion;
        if (!mContext.guardsPrimaries() || !isUncertain) {
            return best;
        }
        Optional<ReplicaState> earlierCandidate =
                states.stream()
                        .filter(state -> state.server().id().equals(mNewestOrder.server()))
                        .findFirst();
        if (earlierCandidate.isPresent()) {
            return earlierCandidate;
        }
        if (mContext.fenceRegistry().mayStillBeExecuted(mService, mNewestOrder)) {
            return Optional.empty();
        }
        mUnansweredPromotion = false;
        return best;
    }

    /** Records the order in the claim, so that instances that start later learn of it. */
    private void recordOrderInClaim(String server) {
        if (!mContext.guardsPrimaries()) {
            promote(server);
            return;
        }
        long token = mClaimManager.nextToken();
        PromotionOrder order = new PromotionOrder(token, server, 0);
        mClaimManager.renew(
                token,
                order,
                mUnansweredPromotion,
                isOwn -> {
                    if (!isOwn) {
                        // An instance that has taken over the claim blocks the group with a higher
                        // token.
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
            close("the fence is too old for a promotion");
            return;
        }
        mNewestOrder = order;
        releaseFence();
        promote(server);
    }

    private void promote(String server) {
        if (!mClaimManager.maySendPromotion()) {
            mRenewalCount++;
            if (mRenewalCount > MAX_RENEWALS) {
                close("the store is too slow for a promotion under the claim");
                return;
            }
            mClaimManager.renew(
                    mClaimManager.nextToken(),
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
                .promote(
                        mService,
                        server,
                        mClaimManager.currentClaim(),
                        PromotionClaimManager.PROMOTION_CALL_TIMEOUT_MILLIS)
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
            close("the platform refused the promotion");
            return;
        }
        if (failure != null) {
            mUnansweredPromotion = true;
            GatewayEvent.PROMOTION_UNANSWERED.log(
                    mService,
                    server,
                    mClaimManager.currentClaim().fencingToken(),
                    Futures.unwrap(failure).getMessage());
        }
        if (isCatalogPrimary(server)) {
            awaitNewPrimary(server, now());
        } else if (elapsedMillis() > ORDER_TIMEOUT_MILLIS) {
            close("the platform did not accept the promotion in time");
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
            close("the promoted server did not become primary in time");
            return;
        }
        Optional<CatalogServer> entry = mContext.view().get().catalog().server(server);
        if (mContext.guardsPrimaries() && entry.isPresent()) {
            mContext.probe()
                    .send(
                            entry.get(),
                            new Statement.Status(),
                            ReplicaStateQuery.STATUS_TIMEOUT_MILLIS)
                    .thenAccept(
                            result ->
                                    mLoop.execute(
                                            () ->
                                                    onNewPrimaryStatus(
                                                            server, orderedNanos, result)));
            return;
        }
        if (isCatalogPrimary(server)) {
            close("done");
            return;
        }
        schedule(NEW_PRIMARY_POLL_MILLIS, () -> awaitNewPrimary(server, orderedNanos));
    }

    private void onNewPrimaryStatus(String server, long orderedNanos, ProbeResult result) {
        Optional<ServerStatus> primary = result.status().filter(ServerStatus::primary);
        if (primary.isPresent()) {
            onNewPrimaryFound(primary.get().term());
            return;
        }
        schedule(NEW_PRIMARY_POLL_MILLIS, () -> awaitNewPrimary(server, orderedNanos));
    }

    /** Announces the new primary and its term to all instances, and ends the replacement. */
    private void onNewPrimaryFound(long term) {
        mNewestOrder = new PromotionOrder(mNewestOrder.token(), mNewestOrder.server(), term);
        close("done");
    }

    /** Replaces an order that will not be executed by the server and term of the previous one. */
    private void revertOrder(PromotionOrder order) {
        mNewestOrder =
                new PromotionOrder(
                        order.token() + 1, mPreviousOrder.server(), mPreviousOrder.term());
    }

    /** Allows the instances to use the primary of the newest order. */
    private void releaseFence() {
        mFenceToken.ifPresent(
                token -> mContext.fenceExchange().release(mService, token, mNewestOrder));
    }

    /** Releases the fence, closes the claim and ends the replacement. */
    private void close(String outcome) {
        releaseFence();
        mClaimManager.close(mNewestOrder, mUnansweredPromotion, () -> end(outcome));
    }
}
