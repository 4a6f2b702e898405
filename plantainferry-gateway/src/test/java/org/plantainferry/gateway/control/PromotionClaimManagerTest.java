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
import org.plantainferry.gateway.spi.ClaimStore;
import org.plantainferry.gateway.spi.PromotionClaim;
import org.plantainferry.gateway.spi.StoredClaim;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/**
 * Guards against a promotion call of a former holder of a claim, which the platform would run with
 * a lower fencing token after a newer call.
 */
public final class PromotionClaimManagerTest {
    private static final String SERVICE = "svc";
    private static final long POLLS_MILLIS = 800;

    /** Keeps one claim, as the store does. */
    private static final class FakeStore implements ClaimStore {
        private Optional<StoredClaim> mClaim = Optional.empty();

        @Override
        public CompletableFuture<Map<String, PromotionClaim>> readAll() {
            throw new AssertionError("unexpected read of all claims");
        }

        @Override
        public synchronized CompletableFuture<Optional<StoredClaim>> read(String service) {
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

    private final EventLoop mLoop = new DefaultEventLoop();
    private final FakeStore mStore = new FakeStore();
    private final BlockingQueue<Optional<String>> mAcquired = new LinkedBlockingQueue<>();
    private volatile long mNowMillis;

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
}
