package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.plantainferry.engine.promotion.Succession;
import org.plantainferry.gateway.spi.ClaimStore;
import org.plantainferry.gateway.spi.PromotionClaim;
import org.plantainferry.gateway.spi.StoredClaim;
import org.plantainferry.network.http.Futures;

/**
 * Holds the claim to replace the primary of one group at the store.
 *
 * <p>Used by the control thread only.
 */
final class ReplacementClaim {
    private static final long FOREIGN_CLAIM_MILLIS = 2_500;
    private static final long FOREIGN_POLL_MILLIS = 250;
    // Well before another instance takes a claim over that has not changed.
    private static final long TRUSTED_MILLIS = 1_500;

    private final EventLoop mLoop;
    private final ClaimStore mStore;
    private final LongSupplier mClock;
    private final String mHolder;
    private final String mService;
    private final BooleanSupplier mPointless;
    private Optional<Long> mForeignVersion = Optional.empty();
    private long mForeignSinceNanos;
    private PromotionClaim mClaim;
    private long mSentNanos;

    /**
     * Creates a claim that is not written yet.
     *
     * @param pointless whether the claim is not needed any more
     */
    ReplacementClaim(
            EventLoop loop, ReplacementTools tools, String service, BooleanSupplier pointless) {
        mLoop = loop;
        mStore = tools.claims();
        mClock = tools.clock();
        mHolder = tools.holder();
        mService = service;
        mPointless = pointless;
    }

    private long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(mClock.getAsLong() - nanos);
    }

    /** Returns the claim as it was written last. */
    PromotionClaim current() {
        return mClaim;
    }

    /** Returns whether no other instance can have taken the claim over. */
    boolean isTrusted() {
        return millisSince(mSentNanos) < TRUSTED_MILLIS;
    }

    /**
     * Writes the claim, when no other instance is at work.
     *
     * @param done runs once; with the reason when there is no claim
     */
    void take(Consumer<Optional<String>> done) {
        if (mPointless.getAsBoolean()) {
            done.accept(Optional.of("replaced by another instance"));
            return;
        }
        mStore.read(mService)
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

    private void takeLater(Consumer<Optional<String>> done) {
        mLoop.schedule(() -> take(done), FOREIGN_POLL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void onRead(Optional<StoredClaim> stored, Consumer<Optional<String>> done) {
        boolean isForeign =
                stored.isPresent()
                        && stored.get().claim().open()
                        && !stored.get().claim().holder().equals(mHolder);
        if (isForeign && !isForeignOld(stored.get().version())) {
            takeLater(done);
            return;
        }
        long token = stored.map(each -> each.claim().fencingToken()).orElse(0L) + 1;
        Succession succession =
                stored.map(each -> each.claim().succession()).orElse(Succession.NONE);
        boolean mayBeLate = stored.isPresent() && mayBeLate(stored.get().claim());
        mClaim = new PromotionClaim(mHolder, token, true, succession, mayBeLate);
        mSentNanos = mClock.getAsLong();
        mStore.write(mService, stored.map(StoredClaim::version), mClaim)
                .whenComplete(
                        (written, failure) ->
                                mLoop.execute(() -> onWritten(written, failure, done)));
    }

    private static boolean mayBeLate(PromotionClaim before) {
        return before.lateOrders() || before.succession().isPending();
    }

    /** An open claim that does not change for a while belongs to an instance that is gone. */
    private boolean isForeignOld(long version) {
        if (!mForeignVersion.equals(Optional.of(version))) {
            mForeignVersion = Optional.of(version);
            mForeignSinceNanos = mClock.getAsLong();
        }
        return millisSince(mForeignSinceNanos) >= FOREIGN_CLAIM_MILLIS;
    }

    private void onWritten(Boolean written, Throwable failure, Consumer<Optional<String>> done) {
        if (failure != null) {
            // The claim may have been written; a new one gets a higher token.
            done.accept(storeFailed(failure));
        } else if (!written) {
            takeLater(done);
        } else {
            done.accept(Optional.empty());
        }
    }

    /**
     * Writes the claim with a new token, unless another instance has taken it over.
     *
     * @param ordered the order to keep at the store
     * @param mayBeLate whether orders may be carried out late
     * @param done runs once, with whether the claim is still that of this instance
     */
    void renew(Succession ordered, boolean mayBeLate, Consumer<Boolean> done) {
        long sent = mClock.getAsLong();
        PromotionClaim renewed = mClaim.renewed(ordered, mayBeLate);
        replaceOwn(renewed)
                .whenComplete(
                        (written, failure) ->
                                mLoop.execute(
                                        () -> {
                                            boolean isOwn = failure == null && written;
                                            if (isOwn) {
                                                mClaim = renewed;
                                                mSentNanos = sent;
                                            }
                                            done.accept(isOwn);
                                        }));
    }

    /** Marks the claim as ended, so that the next replacement need not wait. */
    void close(Succession last, boolean mayBeLate, Runnable done) {
        replaceOwn(mClaim.closed(last, mayBeLate))
                .whenComplete((written, failure) -> mLoop.execute(done));
    }

    /** Writes a claim if the store still holds that of this instance. */
    private CompletableFuture<Boolean> replaceOwn(PromotionClaim claim) {
        return mStore.read(mService)
                .thenCompose(
                        stored -> {
                            boolean isOwn =
                                    stored.isPresent() && stored.get().claim().equals(mClaim);
                            return isOwn
                                    ? mStore.write(
                                            mService, Optional.of(stored.get().version()), claim)
                                    : CompletableFuture.completedFuture(false);
                        });
    }
}
