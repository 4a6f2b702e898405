package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.promotion.CandidateChoice;
import org.plantainferry.engine.promotion.ReplicaState;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.spi.PromotionClaim;
import org.plantainferry.gateway.spi.PromotionResult;
import org.plantainferry.gateway.spi.StoredClaim;
import org.plantainferry.gateway.statement.ServerStatus;
import org.plantainferry.gateway.statement.Statement;
import org.plantainferry.gateway.traffic.ProbeAnswer;
import org.plantainferry.network.http.Futures;

/**
 * Replaces the primary of one group, step by step.
 *
 * <p>The steps are: claim the group in the store, which gives a fencing token of its own; make the
 * primary step down, or else all instances stop to use it; ask the replicas how far they have
 * received; order the one that has most to lead; wait until it says that it leads. Each order keeps
 * its candidate and its token, so that an order whose answer was lost does no harm when it is
 * carried out late. Used by the control thread only.
 */
final class PrimaryReplacement {
    private static final long FOREIGN_CLAIM_MILLIS = 2_500;
    private static final long FOREIGN_POLL_MILLIS = 250;
    // Well before another instance takes a claim over that has not changed.
    private static final long CLAIM_TRUSTED_MILLIS = 1_500;
    private static final long STATUS_MILLIS = 350;
    private static final long CATCH_UP_MILLIS = 700;
    private static final long CATCH_UP_POLL_MILLIS = 60;
    private static final long ORDER_REPEAT_MILLIS = 120;
    private static final long ORDERS_END_MILLIS = 6_000;
    private static final long LEADING_MILLIS = 3_000;
    private static final long LEADING_POLL_MILLIS = 50;

    private final EventLoop mLoop;
    private final ReplacementTools mTools;
    private final String mService;
    private final ReplacementCause mCause;
    private final Runnable mEnded;
    private final String mOldPrimary;
    private final long mStartedNanos;
    private Optional<Long> mForeignVersion = Optional.empty();
    private long mForeignSinceNanos;
    private final Optional<CatalogServer> mLast;
    private PromotionClaim mClaim;
    private long mClaimSentNanos;
    private Optional<PromotionClaim> mFencedWith = Optional.empty();
    private Optional<LogPosition> mLeft = Optional.empty();
    private long mCatchUpUntil;
    private boolean mAsking;
    private boolean mOrdered;

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
    }

    void start() {
        claim();
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

    private void claim() {
        if (isReplaced()) {
            end("replaced by another instance");
            return;
        }
        mTools.claims()
                .read(mService)
                .whenComplete(
                        (stored, failure) ->
                                mLoop.execute(
                                        () -> {
                                            if (failure != null) {
                                                end("store: " + reason(failure));
                                            } else {
                                                onClaimRead(stored);
                                            }
                                        }));
    }

    private static String reason(Throwable failure) {
        return Futures.cause(failure).getMessage();
    }

    private void onClaimRead(Optional<StoredClaim> stored) {
        boolean isForeign =
                stored.isPresent()
                        && stored.get().claim().open()
                        && !stored.get().claim().holder().equals(mTools.holder());
        if (isForeign && !isForeignClaimOld(stored.get().version())) {
            later(FOREIGN_POLL_MILLIS, this::claim);
            return;
        }
        long token = stored.map(each -> each.claim().fencingToken()).orElse(0L) + 1;
        mClaim = new PromotionClaim(mTools.holder(), token, true);
        mClaimSentNanos = now();
        mTools.claims()
                .write(mService, stored.map(each -> each.version()), mClaim)
                .whenComplete(
                        (written, failure) -> mLoop.execute(() -> onClaimed(written, failure)));
    }

    /** An open claim that does not change for a while belongs to an instance that is gone. */
    private boolean isForeignClaimOld(long version) {
        if (!mForeignVersion.equals(Optional.of(version))) {
            mForeignVersion = Optional.of(version);
            mForeignSinceNanos = now();
        }
        long seen = TimeUnit.NANOSECONDS.toMillis(now() - mForeignSinceNanos);
        return seen >= FOREIGN_CLAIM_MILLIS;
    }

    private void onClaimed(Boolean written, Throwable failure) {
        if (failure != null) {
            // The claim may have been written; a new one gets a higher token.
            end("store: " + reason(failure));
            return;
        }
        if (!written) {
            later(FOREIGN_POLL_MILLIS, this::claim);
            return;
        }
        boolean isGuarded = mTools.guardsPrimaries() && mLast.isPresent();
        if (isGuarded) {
            mFencedWith = Optional.of(mClaim);
            mTools.leads().fence(mService, mLast.get().id(), mClaim.fencingToken(), this::onFenced);
        }
        if (isGuarded || mCause == ReplacementCause.LEAVING) {
            stepDown();
            return;
        }
        askReplicasOnce();
    }

    private void onFenced(boolean isUnused) {
        if (isUnused) {
            askReplicasOnce();
        } else if (!mAsking) {
            closeUnordered("instances may still use the primary");
        }
    }

    /** Goes on as soon as the primary has stepped down or no instance uses it any more. */
    private void askReplicasOnce() {
        if (!mAsking) {
            mAsking = true;
            askReplicas();
        }
    }

    /** Stops commits at the primary, so that the replicas can receive all of them. */
    private void stepDown() {
        if (mLast.isEmpty()) {
            askReplicasOnce();
            return;
        }
        mTools.probe()
                .send(mLast.get(), new Statement.Status(), STATUS_MILLIS)
                .thenAccept(answer -> mLoop.execute(() -> onOldStatus(mLast.get(), answer)));
    }

    private void onNotSteppedDown() {
        if (mFencedWith.isEmpty()) {
            askReplicasOnce();
        }
    }

    private void onOldStatus(CatalogServer primary, ProbeAnswer answer) {
        if (answer.status().isEmpty()) {
            onNotSteppedDown();
            return;
        }
        long term = answer.status().get().term() + 1;
        mTools.probe()
                .send(primary, new Statement.StepDown(term), STATUS_MILLIS)
                .thenAccept(
                        stepped ->
                                mLoop.execute(
                                        () -> {
                                            if (stepped.status().isEmpty()) {
                                                onNotSteppedDown();
                                                return;
                                            }
                                            mLeft = stepped.status().map(ServerStatus::received);
                                            mCatchUpUntil =
                                                    now()
                                                            + TimeUnit.MILLISECONDS.toNanos(
                                                                    CATCH_UP_MILLIS);
                                            askReplicasOnce();
                                        }));
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
            closeUnordered("no replica is known");
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
        int synchronous = mTools.synchronousReplicas(mService);
        Optional<ReplicaState> candidate =
                CandidateChoice.choose(states, replicas.size(), synchronous);
        if (candidate.isEmpty()) {
            closeUnordered("no replica answered");
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
                mClaim.fencingToken(),
                candidate.get().received());
        order(candidate.get().server().id());
    }

    private boolean isClaimTrusted() {
        long age = TimeUnit.NANOSECONDS.toMillis(now() - mClaimSentNanos);
        return age < CLAIM_TRUSTED_MILLIS;
    }

    /** Makes sure that no other instance has taken the claim over, with a new token. */
    private void renewClaim(String server) {
        long sent = now();
        PromotionClaim renewed =
                new PromotionClaim(mClaim.holder(), mClaim.fencingToken() + 1, true);
        mTools.claims()
                .read(mService)
                .thenCompose(
                        stored -> {
                            boolean isOwn =
                                    stored.isPresent() && stored.get().claim().equals(mClaim);
                            return isOwn
                                    ? mTools.claims()
                                            .write(
                                                    mService,
                                                    Optional.of(stored.get().version()),
                                                    renewed)
                                    : CompletableFuture.completedFuture(false);
                        })
                .whenComplete(
                        (written, failure) ->
                                mLoop.execute(
                                        () -> {
                                            if (failure != null || !written) {
                                                // Another instance that took the claim over
                                                // fences with a higher token of its own.
                                                if (!mOrdered) {
                                                    liftFence();
                                                }
                                                end("the claim could not be renewed");
                                                return;
                                            }
                                            mClaim = renewed;
                                            mClaimSentNanos = sent;
                                            order(server);
                                        }));
    }

    private void order(String server) {
        if (!isClaimTrusted()) {
            renewClaim(server);
            return;
        }
        mOrdered = true;
        mTools.orders()
                .promote(mService, server, mClaim)
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
            close("the order was refused");
            return;
        }
        if (isLeading(server)) {
            close("done");
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
        boolean isLeading = isLeading(server);
        boolean isLate = TimeUnit.NANOSECONDS.toMillis(now() - orderedNanos) > LEADING_MILLIS;
        if (isLeading || isLate) {
            close(isLeading ? "done" : "the server does not say that it leads");
            return;
        }
        later(LEADING_POLL_MILLIS, () -> awaitLeading(server, orderedNanos));
    }

    /** Gives up before an order was sent, so that the primary may be used again. */
    private void closeUnordered(String outcome) {
        liftFence();
        close(outcome);
    }

    private void liftFence() {
        mFencedWith.ifPresent(
                claim -> mTools.leads().lift(mService, mLast.get().id(), claim.fencingToken()));
    }

    /** Marks the claim as ended, so that the next replacement need not wait, and ends. */
    private void close(String outcome) {
        PromotionClaim ended = new PromotionClaim(mClaim.holder(), mClaim.fencingToken(), false);
        mTools.claims()
                .read(mService)
                .thenCompose(
                        stored -> {
                            boolean isOwn =
                                    stored.isPresent() && stored.get().claim().equals(mClaim);
                            return isOwn
                                    ? mTools.claims()
                                            .write(
                                                    mService,
                                                    Optional.of(stored.get().version()),
                                                    ended)
                                    : CompletableFuture.completedFuture(false);
                        })
                .whenComplete((written, failure) -> mLoop.execute(() -> end(outcome)));
    }
}
