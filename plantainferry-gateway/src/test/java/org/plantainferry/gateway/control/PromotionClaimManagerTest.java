package org.plantainferry.gateway.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.plantainferry.engine.promotion.PromotionOrder;
import org.plantainferry.gateway.spi.ClaimStore;
import org.plantainferry.gateway.spi.PromotionClaim;
import org.plantainferry.gateway.spi.StoredClaim;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a promotion call of a former holder of a claim, which the platform would run with
 * a lower fencing token after a newer call.
 */
public final class PromotionClaimManagerTest {
    private static final String SERVICE = "svc";
    private static final long POLLS_MILLIS = 800;

    /** Keeps one claim, as the store does. */
    private final class FakeStore implements ClaimStore {
        private Optional<StoredClaim> mClaim = Optional.empty();

        @Override
        public CompletableFuture<Map<String, PromotionClaim>> readAll() {
            throw new AssertionError("unexpected read of all claims");
        }

        @Override
        public synchronized CompletableFuture<Optional<StoredClaim>> read(String service) {
            mNowMillis += mReadMillis;
            return CompletableFuture.completedFuture(mClaim);
        }

        @Override
        public synchronized CompletableFuture<Boolean> write(
                String service, Optional<Long> expectedVersion, PromotionClaim claim) {
            if (!mClaim.map(StoredClaim::version).equals(expectedVersion)) {
                return CompletableFuture.completedFuture(false);
            }
            mClaim = Optional.of(new StoredClaim(expectedVersion.orElse(0L) + 1, claim));
            return CompletableFuture.completedFuture(true);
        }
    }

    private EventLoop mLoop;
    private final FakeStore mStore = new FakeStore();
    private final BlockingQueue<Optional<String>> mAcquired = new LinkedBlockingQueue<>();
    private volatile long mNowMillis;
    private volatile long mReadMillis;

    private PromotionClaimManager manager(String holder) {
        ReplacementContext context =
                new ReplacementContext(
                        holder,
                        mStore,
                        null,
                        null,
                        null,
                        null,
                        null,
                        true,
                        () -> TimeUnit.MILLISECONDS.toNanos(mNowMillis),
                        null);
        return new PromotionClaimManager(mLoop, context, SERVICE, () -> false);
    }

    @BeforeMethod
    public void startLoop() {
        mLoop = new DefaultEventLoop();
        mStore.mClaim = Optional.empty();
        mNowMillis = 0;
        mReadMillis = 0;
    }

    @AfterMethod(alwaysRun = true)
    public void stopLoop() {
        mLoop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @Test
    public void endsEachPromotionCallBeforeAnotherInstanceTakesOverTheClaim() throws Exception {
        PromotionClaimManager former = manager("former");
        mLoop.execute(() -> former.acquire(mAcquired::add));
        assertEquals(mAcquired.poll(5, TimeUnit.SECONDS), Optional.empty());
        PromotionClaimManager next = manager("next");
        mLoop.execute(() -> next.acquire(mAcquired::add));
        // The next holder sees the claim for the first time now.
        TimeUnit.MILLISECONDS.sleep(POLLS_MILLIS);
        while (former.maySendPromotion()) {
            mNowMillis++;
        }
        assertTrue(mNowMillis > 0, "the holder may not send at all");
        long lastCallStartMillis = mNowMillis - 1;
        mNowMillis = lastCallStartMillis + PromotionClaimManager.PROMOTION_CALL_TIMEOUT_MILLIS;
        assertEquals(
                mAcquired.poll(POLLS_MILLIS, TimeUnit.MILLISECONDS),
                null,
                "taken over at " + mNowMillis + " ms, while a call may be in progress");
        mNowMillis += PromotionClaimManager.PROMOTION_CALL_TIMEOUT_MILLIS;
        assertEquals(mAcquired.poll(5, TimeUnit.SECONDS), Optional.empty());
        assertFalse(former.maySendPromotion());
    }

    /**
     * Guards against a replacement that renews its claim again and again while the store is slow.
     */
    @Test
    public void maySendAPromotionAfterARenewalWhoseReadWasSlow() throws Exception {
        PromotionClaimManager manager = manager("holder");
        mLoop.submit(() -> manager.acquire(mAcquired::add)).sync();
        assertEquals(mAcquired.poll(5, TimeUnit.SECONDS), Optional.empty());
        mReadMillis = 1_000;
        BlockingQueue<Boolean> renewed = new LinkedBlockingQueue<>();
        mLoop.submit(() -> manager.renew(PromotionOrder.NONE, false, renewed::add)).sync();
        assertEquals(renewed.poll(5, TimeUnit.SECONDS), Boolean.TRUE);
        assertTrue(manager.maySendPromotion());
    }
}
