package org.plantainferry.gateway.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.plantainferry.engine.freshness.StoreEpoch;
import org.plantainferry.engine.promotion.GroupFence;
import org.plantainferry.engine.promotion.PromotionOrder;
import org.plantainferry.gateway.feed.StoreEpochTracker;
import org.plantainferry.gateway.spi.ClaimStore;
import org.plantainferry.gateway.spi.PromotionClaim;
import org.plantainferry.gateway.spi.StoreAnswer;
import org.plantainferry.gateway.spi.StoredClaim;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against an instance that uses a former primary because the store has lost the order that
 * replaced it.
 */
public final class ClaimRestorationTest {
    private static final String SERVICE = "svc";
    private static final StoreEpoch EPOCH = new StoreEpoch(2);
    private static final PromotionOrder ORDER = new PromotionOrder(9, "s2", 4);
    private static final long ALL_ROUNDS_MILLIS = 2_000;

    /** Keeps claims in one epoch. */
    private static final class FakeStore implements ClaimStore {
        private final Map<String, StoredClaim> mClaims = new HashMap<>();
        private int mCalls;

        @Override
        public synchronized CompletableFuture<StoreAnswer<Map<String, PromotionClaim>>> readAll() {
            mCalls++;
            Map<String, PromotionClaim> claims = new HashMap<>();
            mClaims.forEach((service, stored) -> claims.put(service, stored.claim()));
            return CompletableFuture.completedFuture(new StoreAnswer<>(EPOCH, claims));
        }

        @Override
        public synchronized CompletableFuture<StoreAnswer<Optional<StoredClaim>>> read(
                String service) {
            mCalls++;
            return CompletableFuture.completedFuture(
                    new StoreAnswer<>(EPOCH, Optional.ofNullable(mClaims.get(service))));
        }

        @Override
        public synchronized CompletableFuture<StoreAnswer<Boolean>> write(
                String service, Optional<Long> expectedVersion, PromotionClaim claim) {
            mCalls++;
            Optional<Long> version =
                    Optional.ofNullable(mClaims.get(service)).map(StoredClaim::version);
            boolean isWritten = version.equals(expectedVersion);
            if (isWritten) {
                mClaims.put(service, new StoredClaim(version.orElse(0L) + 1, claim));
            }
            return CompletableFuture.completedFuture(new StoreAnswer<>(EPOCH, isWritten));
        }

        synchronized Optional<PromotionClaim> claim() {
            return Optional.ofNullable(mClaims.get(SERVICE)).map(StoredClaim::claim);
        }

        synchronized void put(PromotionClaim claim) {
            mClaims.put(SERVICE, new StoredClaim(5, claim));
        }
    }

    private EventLoop mLoop;
    private FakeStore mStore;
    private FenceRegistry mFences;
    private StoreEpochTracker mEpochs;
    private volatile boolean mFollowsStore;

    @BeforeMethod
    public void create() {
        mLoop = new DefaultEventLoop();
        mStore = new FakeStore();
        mFences = new FenceRegistry(() -> 0);
        mEpochs = new StoreEpochTracker();
        mFollowsStore = true;
        mEpochs.addListener(
                new ClaimRestoration(
                        mLoop,
                        "instance",
                        mStore,
                        mFences,
                        new FencingTokenSource("instance", mFences),
                        mEpochs,
                        () -> mFollowsStore));
        mFences.merge(SERVICE, new GroupFence(9, false, ORDER));
    }

    @AfterMethod(alwaysRun = true)
    public void stopLoop() {
        mLoop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private void restoreStore() throws Exception {
        mLoop.submit(
                        () -> {
                            mEpochs.observe(new StoreEpoch(1));
                            mEpochs.observe(EPOCH);
                        })
                .sync();
        TimeUnit.MILLISECONDS.sleep(ALL_ROUNDS_MILLIS);
    }

    @Test
    public void writesAnOrderThatTheStoreHasLost() throws Exception {
        restoreStore();
        PromotionClaim claim = mStore.claim().orElseThrow();
        assertEquals(claim.newestOrder(), ORDER);
        assertFalse(claim.open());
        assertTrue(claim.fencingToken() > ORDER.token());
    }

    @Test
    public void keepsAStoredOrderThatIsNewer() throws Exception {
        PromotionClaim newer =
                new PromotionClaim("other", 12, false, new PromotionOrder(11, "s3", 5), false);
        mStore.put(newer);
        restoreStore();
        assertEquals(mStore.claim(), Optional.of(newer));
    }

    @Test
    public void replacesNoClaimThatIsInUse() throws Exception {
        PromotionClaim open = new PromotionClaim("other", 12, true, PromotionOrder.NONE, false);
        mStore.put(open);
        restoreStore();
        assertEquals(mStore.claim(), Optional.of(open));
    }

    @Test
    public void asksNothingWhileAnotherInstanceFollowsTheStore() throws Exception {
        mFollowsStore = false;
        restoreStore();
        assertEquals(mStore.mCalls, 0);
    }
}
