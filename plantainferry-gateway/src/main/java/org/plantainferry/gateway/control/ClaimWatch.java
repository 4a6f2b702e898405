package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.plantainferry.engine.promotion.GroupFence;
import org.plantainferry.engine.promotion.LeadLease;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.spi.ClaimStore;
import org.plantainferry.gateway.spi.PromotionClaim;
import org.plantainferry.network.http.Futures;

/**
 * Holds a lease for primaries from the claims at the store, where no majority of instances is.
 *
 * <p>A replacement begins with a claim at the store. An instance that finds none may use the
 * primary of the group for the time of a {@link LeadLease} from the sending of its question: who
 * claims later waits that long before the order. Used by the control thread only.
 */
final class ClaimWatch {
    // Leaves the rest of a lease for an answer that is late.
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(480);

    private final EventLoop mLoop;
    private final ClaimStore mStore;
    private final LongSupplier mClock;
    private final BiConsumer<String, GroupFence> mFences;
    private final Runnable mChanged;
    private boolean mMayRead;
    private boolean mReading;
    private boolean mKnown;
    private long mSentNanos;
    private long mHeldUntilNanos;
    private Set<String> mClaimed = Set.of();

    /**
     * Creates a watch that reads nothing until {@link #onRegistered}.
     *
     * @param fences receives the orders that the claims tell of, by service
     * @param changed runs after each reading
     */
    ClaimWatch(
            EventLoop loop,
            ClaimStore store,
            LongSupplier clock,
            BiConsumer<String, GroupFence> fences,
            Runnable changed) {
        mLoop = loop;
        mStore = store;
        mClock = clock;
        mFences = fences;
        mChanged = changed;
        mSentNanos = clock.getAsLong() - PAUSE_NANOS;
        mHeldUntilNanos = clock.getAsLong();
    }

    /** Notes that this instance stands in the list, where a replacing one finds it. */
    void onRegistered() {
        mMayRead = true;
        read();
    }

    /** Reads the claims, unless that was done a moment ago. */
    void read() {
        long now = mClock.getAsLong();
        if (!mMayRead || mReading || now - mSentNanos < PAUSE_NANOS) {
            return;
        }
        mReading = true;
        mSentNanos = now;
        mStore.readAll()
                .whenComplete(
                        (claims, failure) -> mLoop.execute(() -> onClaims(claims, failure, now)));
    }

    private void onClaims(Map<String, PromotionClaim> claims, Throwable failure, long sentNanos) {
        mReading = false;
        if (failure != null) {
            // The lease ends by itself.
            GatewayEvent.STORE_LEASE.log(
                    "unconfirmed", mClaimed, Futures.unwrap(failure).getMessage());
            return;
        }
        Set<String> claimed = new HashSet<>();
        claims.forEach(
                (service, claim) -> {
                    mFences.accept(service, new GroupFence(0, false, claim.succession()));
                    if (claim.open()) {
                        claimed.add(service);
                    }
                });
        if (mHeldUntilNanos - mClock.getAsLong() <= 0) {
            GatewayEvent.STORE_LEASE.log("held", claimed, "the claims were read");
        }
        mClaimed = Set.copyOf(claimed);
        mHeldUntilNanos = sentNanos + LeadLease.LEASE_NANOS;
        mKnown = true;
        mChanged.run();
    }

    /** Returns whether the claims were read since the start. */
    boolean isKnown() {
        return mKnown;
    }

    /** Returns until when primaries of groups without a claim may be used. */
    long heldUntilNanos() {
        return mHeldUntilNanos;
    }

    /** Returns the services whose primaries may be replaced now. */
    Set<String> claimed() {
        return mClaimed;
    }
}
