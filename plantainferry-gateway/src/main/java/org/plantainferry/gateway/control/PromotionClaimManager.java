package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.plantainferry.engine.promotion.PromotionOrder;
import org.plantainferry.gateway.spi.ClaimStore;
import org.plantainferry.gateway.spi.PromotionClaim;
import org.plantainferry.gateway.spi.StoredClaim;
import org.plantainferry.network.http.Futures;

/**
 * Holds the claim to replace the primary of one group at the store.
 *
 * <p>Used by the control thread only.
 */
final class PromotionClaimManager {
    private static final long FOREIGN_CLAIM_EXPIRY_MILLIS = 2_500;
    private static final long FOREIGN_CLAIM_POLL_MILLIS = 250;
    // Well before another instance takes a claim over that has not changed.
    private static final long EXCLUSIVE_MILLIS = 1_500;

    private final EventLoop mLoop;
    private final ClaimStore mClaimStore;
    private final LongSupplier mClock;
    private final String mHolder;
    private final String mService;
    private final BooleanSupplier mObsolete;
    private Optional<Long> mForeignClaimVersion = Optional.empty();
    private long mForeignClaimSeenNanos;
    private PromotionClaim mClaim;
    private long mLastWriteNanos;

    /**
     * Creates a claim that is not written yet.
     *
     * @param pointless whether the claim is not needed any more
     */
    PromotionClaimManager(
            EventLoop loop, ReplacementContext tools, String service, BooleanSupplier pointless) {
        mLoop = loop;
        mClaimStore = tools.claims();
        mClock = tools.clock();
        mHolder = tools.holder();
        mService = service;
        mObsolete = pointless;
    }

    private long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(mClock.getAsLong() - nanos);
    }

    /** Returns the claim as it was written last. */
    PromotionClaim currentClaim() {
        return mClaim;
    }

    /** Returns whether no other instance can have taken the claim over. */
    boolean isExclusive() {
        return millisSince(mLastWriteNanos) < EXCLUSIVE_MILLIS;
    }

    /**
     * Writes the claim, when no other instance is at work.
     *
     * @param done runs once; with the reason when there is no claim
     */
    void acquire(Consumer<Optional<String>> done) {
        if (mObsolete.getAsBoolean()) {
            done.accept(Optional.of("replaced by another instance"));
            return;
        }
        mClaimStore
                .read(mService)
                .whenComplete(
                        (stored, failure) ->
                                mLoop.execute(
                                        () -> {
                                            if (failure != null) {
                                                done.accept(storeFailed(failure));
                                            } else {
                                                onRead(stored, done);
                                            }
                                        }));
    }

    private static Optional<String> storeFailed(Throwable failure) {
        return Optional.of("store: " + Futures.unwrap(failure).getMessage());
    }

    private void acquireLater(Consumer<Optional<String>> done) {
        mLoop.schedule(() -> acquire(done), FOREIGN_CLAIM_POLL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void onRead(Optional<StoredClaim> stored, Consumer<Optional<String>> done) {
        boolean isForeign =
                stored.isPresent()
                        && stored.get().claim().open()
                        && !stored.get().claim().holder().equals(mHolder);
        if (isForeign && !isForeignClaimExpired(stored.get().version())) {
            acquireLater(done);
            return;
        }
        long token = stored.map(each -> each.claim().fencingToken()).orElse(0L) + 1;
        PromotionOrder succession =
                stored.map(each -> each.claim().newestOrder()).orElse(PromotionOrder.NONE);
        boolean mayBeLate = stored.isPresent() && hasUnansweredPromotion(stored.get().claim());
        mClaim = new PromotionClaim(mHolder, token, true, succession, mayBeLate);
        mLastWriteNanos = mClock.getAsLong();
        mClaimStore
                .write(mService, stored.map(StoredClaim::version), mClaim)
                .whenComplete(
                        (written, failure) ->
                                mLoop.execute(() -> onWritten(written, failure, done)));
    }

    private static boolean hasUnansweredPromotion(PromotionClaim before) {
        return before.unansweredPromotion() || before.newestOrder().isPending();
    }

    /** An open claim that does not change for a while belongs to an instance that is gone. */
    private boolean isForeignClaimExpired(long version) {
        if (!mForeignClaimVersion.equals(Optional.of(version))) {
            mForeignClaimVersion = Optional.of(version);
            mForeignClaimSeenNanos = mClock.getAsLong();
        }
        return millisSince(mForeignClaimSeenNanos) >= FOREIGN_CLAIM_EXPIRY_MILLIS;
    }

    private void onWritten(Boolean written, Throwable failure, Consumer<Optional<String>> done) {
        if (failure != null) {
            // The claim may have been written; a new one gets a higher token.
            done.accept(storeFailed(failure));
        } else if (!written) {
            acquireLater(done);
        } else {
            done.accept(Optional.empty());
        }
    }

    /**
     * Writes the claim with a new token, unless another instance has taken it over.
     *
     * @param ordered the order to keep at the store
     * @param hasUnansweredPromotion whether orders may be carried out late
     * @param done runs once, with whether the claim is still that of this instance
     */
    void renew(PromotionOrder ordered, boolean mayBeLate, Consumer<Boolean> done) {
        long sent = mClock.getAsLong();
        PromotionClaim renewed = mClaim.renewed(ordered, mayBeLate);
        writeIfHeld(renewed)
                .whenComplete(
                        (written, failure) ->
                                mLoop.execute(
                                        () -> {
                                            boolean isOwn = failure == null && written;
                                            if (isOwn) {
                                                mClaim = renewed;
                                                mLastWriteNanos = sent;
                                            }
                                            done.accept(isOwn);
                                        }));
    }

    /** Marks the claim as ended, so that the next replacement need not wait. */
    void close(PromotionOrder last, boolean mayBeLate, Runnable done) {
        writeIfHeld(mClaim.closed(last, mayBeLate))
                .whenComplete((written, failure) -> mLoop.execute(done));
    }

    /** Writes a claim if the store still holds that of this instance. */
    private CompletableFuture<Boolean> writeIfHeld(PromotionClaim claim) {
        return mClaimStore
                .read(mService)
                .thenCompose(
                        stored -> {
                            boolean isOwn =
                                    stored.isPresent() && stored.get().claim().equals(mClaim);
                            return isOwn
                                    ? mClaimStore.write(
                                            mService, Optional.of(stored.get().version()), claim)
                                    : CompletableFuture.completedFuture(false);
                        });
    }
}
