package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.plantainferry.engine.promotion.GroupFence;
import org.plantainferry.engine.promotion.QuorumLease;
import org.plantainferry.gateway.feed.StoreEpochTracker;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.spi.ClaimStore;
import org.plantainferry.gateway.spi.PromotionClaim;
import org.plantainferry.gateway.spi.StoreAnswer;
import org.plantainferry.network.http.Futures;

/**
 * Maintains a lease for primaries from the claims in the store, for use without a majority.
 *
 * <p>Each replacement begins with a claim in the store. An instance that finds no claim for a group
 * may use its primary for {@link QuorumLease#LEASE_NANOS} after sending the request, because an
 * instance that claims the group later waits that long before its promotion order. Used by the
 * control thread only.
 */
final class StoreLease {
    // Leaves the remainder of the lease for a slow answer.
    private static final long MIN_READ_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(480);

    private final EventLoop mLoop;
    private final ClaimStore mClaimStore;
    private final StoreEpochTracker mEpochs;
    private final BooleanSupplier mSettled;
    private final LongSupplier mClock;
    private final BiConsumer<String, GroupFence> mFenceConsumer;
    private final Runnable mReadListener;
    private boolean mRegistered;
    private boolean mReading;
    private boolean mClaimsRead;
    private long mLastReadNanos;
    private long mHeldUntilNanos;
    private Set<String> mClaimedServices = Set.of();

    /**
     * Creates a lease that is not held and reads nothing until {@link #onRegistered}.
     *
     * @param fenceConsumer receives the service and the newest order of each claim
     * @param readListener runs after each successful read
     */
    StoreLease(
            EventLoop loop,
            ClaimStore store,
            StoreEpochTracker epochs,
            BooleanSupplier settled,
            LongSupplier clock,
            BiConsumer<String, GroupFence> fenceConsumer,
            Runnable readListener) {
        mLoop = loop;
        mClaimStore = store;
        mEpochs = epochs;
        mSettled = settled;
        mClock = clock;
        mFenceConsumer = fenceConsumer;
        mReadListener = readListener;
        mLastReadNanos = clock.getAsLong() - MIN_READ_INTERVAL_NANOS;
        mHeldUntilNanos = clock.getAsLong();
    }

    /**
     * Starts to read claims, because replacing instances now find this instance in the registry.
     */
    void onRegistered() {
        mRegistered = true;
        read();
    }

    /** Reads the claims, unless a read is running or the last one was too recent. */
    void read() {
        long now = mClock.getAsLong();
        if (!mRegistered || mReading || now - mLastReadNanos < MIN_READ_INTERVAL_NANOS) {
            return;
        }
        mReading = true;
        mLastReadNanos = now;
        mClaimStore
                .readAll()
                .whenComplete(
                        (answer, failure) -> mLoop.execute(() -> onAnswer(answer, failure, now)));
    }

    private void onAnswer(
            StoreAnswer<Map<String, PromotionClaim>> answer, Throwable failure, long sentNanos) {
        mReading = false;
        if (failure != null) {
            // The lease expires unless a later read succeeds.
            GatewayEvent.STORE_LEASE.log(
                    "unconfirmed", mClaimedServices, Futures.unwrap(failure).getMessage());
            return;
        }
        if (!mEpochs.isCurrent(answer.epoch())) {
            GatewayEvent.STORE_LEASE.log(
                    "unconfirmed", mClaimedServices, "the epoch is missing or has ended");
            return;
        }
        onClaims(answer.content(), sentNanos);
    }

    private void onClaims(Map<String, PromotionClaim> claims, long sentNanos) {
        Set<String> claimedServices = new HashSet<>();
        claims.forEach(
                (service, claim) -> {
                    mFenceConsumer.accept(service, new GroupFence(0, false, claim.newestOrder()));
                    if (claim.open()) {
                        claimedServices.add(service);
                    }
                });
        mClaimedServices = Set.copyOf(claimedServices);
        mClaimsRead = true;
        extend(sentNanos);
        mReadListener.run();
    }

    /** Extends the lease, unless the store may have lost a claim that is still in use. */
    private void extend(long sentNanos) {
        if (!mSettled.getAsBoolean()) {
            GatewayEvent.STORE_LEASE.log("unconfirmed", mClaimedServices, "store restored");
            return;
        }
        if (mHeldUntilNanos - mClock.getAsLong() <= 0) {
            GatewayEvent.STORE_LEASE.log("held", mClaimedServices, "claims read");
        }
        mHeldUntilNanos = sentNanos + QuorumLease.LEASE_NANOS;
    }

    /** Returns whether the claims have been read at least once. */
    boolean hasReadClaims() {
        return mClaimsRead;
    }

    /** Returns the time until which primaries of groups without a claim may be used. */
    long heldUntilNanos() {
        return mHeldUntilNanos;
    }

    /** Returns the services that had an open claim at the last read. */
    Set<String> claimedServices() {
        return mClaimedServices;
    }
}
