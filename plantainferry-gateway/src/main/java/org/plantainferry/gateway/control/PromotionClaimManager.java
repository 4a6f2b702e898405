package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.plantainferry.engine.freshness.StoreEpoch;
import org.plantainferry.engine.promotion.PromotionOrder;
import org.plantainferry.gateway.feed.StoreEpochTracker;
import org.plantainferry.gateway.spi.ClaimStore;
import org.plantainferry.gateway.spi.PromotionClaim;
import org.plantainferry.gateway.spi.StoreAnswer;
import org.plantainferry.gateway.spi.StoredClaim;
import org.plantainferry.network.http.Futures;

/**
 * Acquires, renews and closes the claim to replace the primary of one group in the store.
 *
 * <p>Used by the control thread only.
 */
final class PromotionClaimManager {
    /** The time for which a promotion call may wait for its answer. */
    static final long PROMOTION_CALL_TIMEOUT_MILLIS = 1_500;

    private static final long FOREIGN_CLAIM_EXPIRY_MILLIS = 2_500;
    private static final long FOREIGN_CLAIM_POLL_MILLIS = 250;
    // Covers timers that fire late.
    private static final long CALL_END_MARGIN_MILLIS = 300;
    // A promotion call must have ended when another instance takes over an unchanged claim.
    private static final long LAST_CALL_START_MILLIS =
            FOREIGN_CLAIM_EXPIRY_MILLIS - CALL_END_MARGIN_MILLIS - PROMOTION_CALL_TIMEOUT_MILLIS;

    private final EventLoop mLoop;
    private final ClaimStore mClaimStore;
    private final LongSupplier mClock;
    private final String mHolder;
    private final String mService;
    private final BooleanSupplier mObsolete;
    private final FencingTokenSource mTokens;
    private final StoreEpochTracker mEpochs;
    private final BooleanSupplier mSettled;
    private Optional<Long> mForeignClaimVersion = Optional.empty();
    private long mForeignClaimSeenNanos;
    private PromotionClaim mClaim;
    // The epoch in which the claim was written; it is void in any other.
    private StoreEpoch mEpoch = StoreEpoch.UNKNOWN;
    private long mLastWriteNanos;

    /**
     * Creates a manager that holds no claim.
     *
     * @param obsolete returns whether the claim is no longer needed
     */
    PromotionClaimManager(
            EventLoop loop, ReplacementContext context, String service, BooleanSupplier obsolete) {
        mLoop = loop;
        mClaimStore = context.claims();
        mClock = context.clock();
        mHolder = context.holder();
        mService = service;
        mObsolete = obsolete;
        mTokens = context.tokens();
        mEpochs = context.epochs();
        mSettled = context.settled();
    }

    private long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(mClock.getAsLong() - nanos);
    }

    /** Returns the claim that was last written; null before {@link #acquire}. */
    PromotionClaim currentClaim() {
        return mClaim;
    }

    /**
     * Returns whether a promotion call that starts now ends before another instance can take over
     * the claim.
     */
    boolean maySendPromotion() {
        return millisSince(mLastWriteNanos) < LAST_CALL_START_MILLIS;
    }

    /**
     * Writes the claim as soon as no other instance holds one, and none can hold one that the store
     * has lost.
     *
     * @param callback runs once; receives the reason if the claim was not acquired, else empty
     */
    void acquire(Consumer<Optional<String>> callback) {
        if (mObsolete.getAsBoolean()) {
            callback.accept(Optional.of("replaced by another instance"));
            return;
        }
        mClaimStore
                .read(mService)
                .whenComplete(
                        (answer, failure) ->
                                mLoop.execute(
                                        () -> {
                                            if (failure != null) {
                                                callback.accept(storeFailed(failure));
                                            } else {
                                                onRead(answer, callback);
                                            }
                                        }));
    }

    private static Optional<String> storeFailed(Throwable failure) {
        return Optional.of("store: " + Futures.unwrap(failure).getMessage());
    }

    private void acquireLater(Consumer<Optional<String>> callback) {
        mLoop.schedule(() -> acquire(callback), FOREIGN_CLAIM_POLL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void onRead(
            StoreAnswer<Optional<StoredClaim>> answer, Consumer<Optional<String>> callback) {
        if (!isCurrent(answer)) {
            callback.accept(Optional.of("store: the epoch is missing or has ended"));
            return;
        }
        if (!mSettled.getAsBoolean()) {
            acquireLater(callback);
            return;
        }
        Optional<StoredClaim> stored = answer.content();
        boolean isForeign =
                stored.isPresent()
                        && stored.get().claim().open()
                        && !stored.get().claim().holder().equals(mHolder);
        if (isForeign && !isForeignClaimExpired(stored.get().version())) {
            acquireLater(callback);
            return;
        }
        mEpoch = answer.epoch();
        long token = mTokens.next(mService, mEpoch, stored.map(StoredClaim::claim));
        PromotionOrder newestOrder =
                stored.map(current -> current.claim().newestOrder()).orElse(PromotionOrder.NONE);
        boolean unansweredPromotion =
                stored.isPresent() && hasUnansweredPromotion(stored.get().claim());
        mClaim = new PromotionClaim(mHolder, token, true, newestOrder, unansweredPromotion);
        mLastWriteNanos = mClock.getAsLong();
        mClaimStore
                .write(mService, stored.map(StoredClaim::version), mClaim)
                .whenComplete(
                        (written, failure) ->
                                mLoop.execute(() -> onWritten(written, failure, callback)));
    }

    /** Returns whether an order of an earlier claim may still be executed. */
    private static boolean hasUnansweredPromotion(PromotionClaim previous) {
        return previous.unansweredPromotion() || previous.newestOrder().isPending();
    }

    /** Returns whether a claim stayed unchanged for so long that its holder must have stopped. */
    private boolean isForeignClaimExpired(long version) {
        if (!mForeignClaimVersion.equals(Optional.of(version))) {
            mForeignClaimVersion = Optional.of(version);
            mForeignClaimSeenNanos = mClock.getAsLong();
        }
        return millisSince(mForeignClaimSeenNanos) >= FOREIGN_CLAIM_EXPIRY_MILLIS;
    }

    /** Returns whether an answer is of the newest epoch, so that claims may rest on it. */
    private boolean isCurrent(StoreAnswer<?> answer) {
        return mEpochs.isCurrent(answer.epoch());
    }

    private void onWritten(
            StoreAnswer<Boolean> answer, Throwable failure, Consumer<Optional<String>> callback) {
        if (failure != null) {
            // The claim may have been written all the same; the next one gets a higher token.
            callback.accept(storeFailed(failure));
        } else if (!isWrittenInOwnEpoch(answer)) {
            acquireLater(callback);
        } else {
            callback.accept(Optional.empty());
        }
    }

    /**
     * Returns whether a write replaced the version that was read before.
     *
     * <p>In another epoch the same version may be that of a claim that was never read.
     */
    private boolean isWrittenInOwnEpoch(StoreAnswer<Boolean> answer) {
        mEpochs.observe(answer.epoch());
        return answer.content() && answer.epoch().equals(mEpoch);
    }

    /** Returns a token for the renewal of the claim, higher than all earlier ones. */
    long nextToken() {
        return mTokens.next(mService, mEpoch, Optional.of(mClaim));
    }

    /**
     * Writes the claim with a new token, unless another instance has taken it over.
     *
     * @param token the token, from {@link #nextToken}
     * @param order the promotion order to record
     * @param unansweredPromotion whether a promotion call had no answer and may be executed late
     * @param callback runs once; receives whether the claim was renewed
     */
    void renew(
            long token,
            PromotionOrder order,
            boolean unansweredPromotion,
            Consumer<Boolean> callback) {
        PromotionClaim renewed = mClaim.renewed(token, order, unansweredPromotion);
        writeIfHeld(renewed)
                .whenComplete(
                        (write, failure) ->
                                mLoop.execute(
                                        () -> {
                                            boolean isOwn =
                                                    failure == null
                                                            && isWrittenInOwnEpoch(write.answer());
                                            if (isOwn) {
                                                mClaim = renewed;
                                                mLastWriteNanos = write.sentNanos();
                                            }
                                            callback.accept(isOwn);
                                        }));
    }

    /** Marks the claim as closed, so that the next replacement can start without delay. */
    void close(PromotionOrder newestOrder, boolean unansweredPromotion, Runnable callback) {
        writeIfHeld(mClaim.closed(newestOrder, unansweredPromotion))
                .whenComplete((written, failure) -> mLoop.execute(callback));
    }

    /** Represents a write of a claim, with the time at which its call was sent. */
    private record ClaimWrite(StoreAnswer<Boolean> answer, long sentNanos) {}

    /** Writes a claim if the store still contains the current claim of this instance. */
    private CompletableFuture<ClaimWrite> writeIfHeld(PromotionClaim claim) {
        return mClaimStore
                .read(mService)
                .thenCompose(
                        read -> {
                            long sentNanos = mClock.getAsLong();
                            Optional<StoredClaim> stored = read.content();
                            boolean isOwn =
                                    read.epoch().equals(mEpoch)
                                            && stored.isPresent()
                                            && stored.get().claim().equals(mClaim);
                            CompletableFuture<StoreAnswer<Boolean>> written =
                                    isOwn
                                            ? mClaimStore.write(
                                                    mService,
                                                    Optional.of(stored.get().version()),
                                                    claim)
                                            : CompletableFuture.completedFuture(
                                                    new StoreAnswer<>(read.epoch(), false));
                            return written.thenApply(answer -> new ClaimWrite(answer, sentNanos));
                        });
    }
}
