package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.plantainferry.engine.promotion.GroupFence;
import org.plantainferry.engine.promotion.QuorumLease;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.spi.ClaimStore;
import org.plantainferry.gateway.spi.PromotionClaim;
import org.plantainferry.network.http.Futures;

/**
 * Holds a lease for primaries from the claims at the store, where no majority of instances is.
 *
 * <p>A replacement begins with a claim at the store. An instance that finds none may use the
 * primary of the group for the time of a {@link QuorumLease} from the sending of its question: who
 * claims later waits that long before the order. Used by the control thread only.
 */
final class StoreLease {
    // Leaves the rest of a lease for an answer that is late.
    private static final long MIN_READ_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(480);

    private final EventLoop mLoop;
    private final ClaimStore mClaimStore;
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
     * Creates a watch that reads nothing until {@link #onRegistered}.
     *
     * @param fences receives the orders that the claims tell of, by service
     * @param changed runs after each reading
     */
    StoreLease(
            EventLoop loop,
            ClaimStore store,
            LongSupplier clock,
            BiConsumer<String, GroupFence> fences,
            Runnable changed) {
        mLoop = loop;
        mClaimStore = store;
        mClock = clock;
        mFenceConsumer = fences;
        mReadListener = changed;
        mLastReadNanos = clock.getAsLong() - MIN_READ_INTERVAL_NANOS;
        mHeldUntilNanos = clock.getAsLong();
    }

    /** Notes that this instance stands in the list, where a replacing one finds it. */
    void onRegistered() {
        mRegistered = true;
        read();
    }

    /** Reads the claims, unless that was done a moment ago. */
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
                        (claims, failure) -> mLoop.execute(() -> onClaims(claims, failure, now)));
    }

    private void onClaims(Map<String, PromotionClaim> claims, Throwable failure, long sentNanos) {
        mReading = false;
        if (failure != null) {
            // The lease ends by itself.
            GatewayEvent.STORE_LEASE.log(
                    "unconfirmed", mClaimedServices, Futures.unwrap(failure).getMessage());
            return;
        }
        Set<String> claimed = new HashSet<>();
        claims.forEach(
                (service, claim) -> {
                    mFenceConsumer.accept(service, new GroupFence(0, false, claim.newestOrder()));
                    if (claim.open()) {
                        claimed.add(service);
                    }
                });
        if (mHeldUntilNanos - mClock.getAsLong() <= 0) {
            GatewayEvent.STORE_LEASE.log("held", claimed, "the claims were read");
        }
        mClaimedServices = Set.copyOf(claimed);
        mHeldUntilNanos = sentNanos + QuorumLease.LEASE_NANOS;
        mClaimsRead = true;
        mReadListener.run();
    }

    /** Returns whether the claims were read since the start. */
    boolean hasReadClaims() {
        return mClaimsRead;
    }

    /** Returns until when primaries of groups without a claim may be used. */
    long heldUntilNanos() {
        return mHeldUntilNanos;
    }

    /** Returns the services whose primaries may be replaced now. */
    Set<String> claimedServices() {
        return mClaimedServices;
    }
}
