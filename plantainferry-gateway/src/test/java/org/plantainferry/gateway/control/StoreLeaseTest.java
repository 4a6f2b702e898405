package org.plantainferry.gateway.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.plantainferry.engine.freshness.StoreEpoch;
import org.plantainferry.engine.promotion.GroupFence;
import org.plantainferry.engine.promotion.PromotionOrder;
import org.plantainferry.engine.promotion.QuorumLease;
import org.plantainferry.gateway.feed.StoreEpochTracker;
import org.plantainferry.gateway.spi.ClaimStore;
import org.plantainferry.gateway.spi.PromotionClaim;
import org.plantainferry.gateway.spi.StoreAnswer;
import org.plantainferry.gateway.spi.StoredClaim;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that primaries stay usable without a majority of instances while the store answers.
 *
 * <p>No majority exists when fewer than half of the instances are left, or when the fleet has just
 * been restarted.
 */
public final class StoreLeaseTest {
    private static final long MILLI_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    /** Answers a read when the test completes the pending future. */
    private static final class FakeStore implements ClaimStore {
        private int mReads;
        private CompletableFuture<StoreAnswer<Map<String, PromotionClaim>>> mPendingRead;

        @Override
        public CompletableFuture<StoreAnswer<Map<String, PromotionClaim>>> readAll() {
            mReads++;
            mPendingRead = new CompletableFuture<>();
            return mPendingRead;
        }

        @Override
        public CompletableFuture<StoreAnswer<Optional<StoredClaim>>> read(String service) {
            throw new AssertionError("unexpected read of a single claim");
        }

        @Override
        public CompletableFuture<StoreAnswer<Boolean>> write(
                String service, Optional<Long> expectedVersion, PromotionClaim claim) {
            throw new AssertionError("unexpected write");
        }
    }

    private final FakeStore mClaimStore = new FakeStore();
    private EventLoop mLoop;
    private long mNowNanos;
    private boolean mSettled;
    private Map<String, GroupFence> mFences;
    private StoreLease mLease;

    @BeforeMethod
    public void createLease() {
        mLoop = new DefaultEventLoop();
        mClaimStore.mReads = 0;
        mSettled = true;
        mNowNanos = 1_000 * MILLI_NANOS;
        mFences = new HashMap<>();
        mLease =
                new StoreLease(
                        mLoop,
                        mClaimStore,
                        new StoreEpochTracker(),
                        () -> mSettled,
                        () -> mNowNanos,
                        mFences::put,
                        () -> {});
    }

    @AfterMethod
    public void stopLoop() {
        mLoop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private void answer(Map<String, PromotionClaim> claims) throws Exception {
        answer(StoreEpoch.UNKNOWN, claims);
    }

    private void answer(StoreEpoch epoch, Map<String, PromotionClaim> claims) throws Exception {
        mClaimStore.mPendingRead.complete(new StoreAnswer<>(epoch, claims));
        // The lease applies the answer on its event loop; this task runs after that.
        mLoop.submit(() -> {}).get();
    }

    private boolean isHeld() {
        return mLease.heldUntilNanos() - mNowNanos > 0;
    }

    @Test
    public void readsNothingBeforeTheInstanceIsRegistered() {
        mLease.read();

        assertEquals(mClaimStore.mReads, 0);
        assertFalse(isHeld());
    }

    @Test
    public void startsTheLeaseWhenTheRequestIsSent() throws Exception {
        mLease.onRegistered();
        mNowNanos += 400 * MILLI_NANOS;
        answer(Map.of());

        assertEquals(mLease.heldUntilNanos(), 1_000 * MILLI_NANOS + QuorumLease.LEASE_NANOS);
        assertTrue(isHeld());
        mNowNanos += QuorumLease.LEASE_NANOS;
        assertFalse(isHeld());
    }

    @Test
    public void reportsOnlyGroupsWithAnOpenClaimAsClaimed() throws Exception {
        mLease.onRegistered();
        PromotionOrder order = new PromotionOrder(4, "s2", 3);
        answer(
                Map.of(
                        "claimed", new PromotionClaim("a", 5, true, order, false),
                        "ended", new PromotionClaim("a", 5, false, order, false)));

        assertEquals(mLease.claimedServices(), Set.of("claimed"));
        assertEquals(mFences.get("ended").newestOrder(), order);
    }

    @Test
    public void holdsNoLeaseWhenTheStoreDoesNotAnswer() throws Exception {
        mLease.onRegistered();
        mClaimStore.mPendingRead.completeExceptionally(
                new IllegalStateException("the store is unavailable"));
        mLoop.submit(() -> {}).get();

        assertFalse(isHeld());
        assertFalse(mLease.hasReadClaims());
    }

    /** Guards against a lease from a store that has lost a claim which is still in use. */
    @Test
    public void isNotHeldUntilTheRestoredStoreIsSettled() throws Exception {
        mSettled = false;
        mLease.onRegistered();
        answer(new StoreEpoch(2), Map.of());
        assertFalse(isHeld());
        assertTrue(mLease.hasReadClaims());
        mSettled = true;
        mNowNanos += QuorumLease.LEASE_NANOS;
        mLease.read();
        answer(new StoreEpoch(2), Map.of());
        assertTrue(isHeld());
    }

    /** Guards against a lease from an answer of before the store lost claims. */
    @Test
    public void isNotHeldAfterAnAnswerOfAnEpochThatHasEnded() throws Exception {
        mLease.onRegistered();
        answer(new StoreEpoch(2), Map.of());
        assertTrue(isHeld());
        mNowNanos += 2 * QuorumLease.LEASE_NANOS;
        mLease.read();
        answer(new StoreEpoch(1), Map.of());
        assertFalse(isHeld());
        mNowNanos += QuorumLease.LEASE_NANOS;
        mLease.read();
        answer(StoreEpoch.UNKNOWN, Map.of());
        assertFalse(isHeld());
    }

    @Test
    public void keepsTheLeaseWithFewStoreReads() throws Exception {
        mLease.onRegistered();
        answer(Map.of());
        for (int millis = 0; millis < 10_000; millis += 30) {
            mLease.read();
            if (!mClaimStore.mPendingRead.isDone()) {
                answer(Map.of());
            }
            assertTrue(isHeld());
            mNowNanos += 30 * MILLI_NANOS;
        }

        assertTrue(mClaimStore.mReads <= 22, mClaimStore.mReads + " calls in 10 s");
    }
}
