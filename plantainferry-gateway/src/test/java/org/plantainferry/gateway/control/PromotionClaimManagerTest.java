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
import org.plantainferry.engine.freshness.StoreEpoch;
import org.plantainferry.engine.promotion.FencingTokens;
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
 * Guards against a promotion call of a former holder of a claim, which the platform would run with
 * a lower fencing token after a newer call.
 */
public final class PromotionClaimManagerTest {
    private static final String SERVICE = "svc";
    private static final long POLLS_MILLIS = 800;

    /** Keeps one claim, as the store does, and may be restored from a copy. */
    private final class FakeStore implements ClaimStore {
        private Optional<StoredClaim> mClaim = Optional.empty();
        private StoreEpoch mEpoch = StoreEpoch.UNKNOWN;
        private Runnable mBeforeWrite = () -> {};

        @Override
        public CompletableFuture<StoreAnswer<Map<String, PromotionClaim>>> readAll() {
            throw new AssertionError("unexpected read of all claims");
        }

        @Override
        public synchronized CompletableFuture<StoreAnswer<Optional<StoredClaim>>> read(
                String service) {
            mNowMillis += mReadMillis;
            return CompletableFuture.completedFuture(new StoreAnswer<>(mEpoch, mClaim));
        }

        @Override
        public synchronized CompletableFuture<StoreAnswer<Boolean>> write(
                String service, Optional<Long> expectedVersion, PromotionClaim claim) {
            Runnable beforeWrite = mBeforeWrite;
            mBeforeWrite = () -> {};
            beforeWrite.run();
            boolean isWritten = mClaim.map(StoredClaim::version).equals(expectedVersion);
            if (isWritten) {
                mClaim = Optional.of(new StoredClaim(expectedVersion.orElse(0L) + 1, claim));
            }
            return CompletableFuture.completedFuture(new StoreAnswer<>(mEpoch, isWritten));
        }

        synchronized void restore(long epoch, Optional<StoredClaim> copy) {
            mEpoch = new StoreEpoch(epoch);
            mClaim = copy;
        }
    }

    private EventLoop mLoop;
    private final FakeStore mStore = new FakeStore();
    private final BlockingQueue<Optional<String>> mAcquired = new LinkedBlockingQueue<>();
    private volatile long mNowMillis;
    private volatile long mReadMillis;
    private volatile boolean mSettled = true;

    private long nowNanos() {
        return TimeUnit.MILLISECONDS.toNanos(mNowMillis);
    }

    /** Creates the manager of a process that knows nothing of earlier claims. */
    private PromotionClaimManager manager(String holder) {
        return manager(holder, new StoreEpochTracker());
    }

    private PromotionClaimManager manager(String holder, StoreEpochTracker epochs) {
        FenceRegistry fences = new FenceRegistry(this::nowNanos);
        ReplacementContext context =
                new ReplacementContext(
                        holder,
                        mStore,
                        null,
                        null,
                        null,
                        fences,
                        new FencingTokenSource(holder, fences),
                        epochs,
                        () -> mSettled,
                        null,
                        null,
                        null,
                        true,
                        this::nowNanos,
                        null);
        return new PromotionClaimManager(mLoop, context, SERVICE, () -> false);
    }

    private PromotionClaim acquire(PromotionClaimManager manager) throws Exception {
        mLoop.submit(() -> manager.acquire(mAcquired::add)).sync();
        assertEquals(mAcquired.poll(5, TimeUnit.SECONDS), Optional.empty());
        return manager.currentClaim();
    }

    private Boolean renew(PromotionClaimManager manager) throws Exception {
        BlockingQueue<Boolean> renewed = new LinkedBlockingQueue<>();
        mLoop.submit(
                        () ->
                                manager.renew(
                                        manager.nextToken(),
                                        PromotionOrder.NONE,
                                        false,
                                        renewed::add))
                .sync();
        return renewed.poll(5, TimeUnit.SECONDS);
    }

    @BeforeMethod
    public void startLoop() {
        mLoop = new DefaultEventLoop();
        mStore.mClaim = Optional.empty();
        mStore.mEpoch = StoreEpoch.UNKNOWN;
        mStore.mBeforeWrite = () -> {};
        mNowMillis = 0;
        mReadMillis = 0;
        mSettled = true;
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
        acquire(manager);
        mReadMillis = 1_000;
        assertEquals(renew(manager), Boolean.TRUE);
        assertTrue(manager.maySendPromotion());
    }

    /** Guards against one token of two holders after the store lost the claim of the first. */
    @Test
    public void givesNoTokenTwiceAlthoughTheStoreLostTheClaimAndItsHoldersAreGone()
            throws Exception {
        mStore.restore(1, Optional.empty());
        PromotionClaimManager first = manager("first");
        acquire(first);
        assertEquals(renew(first), Boolean.TRUE);
        long firstToken = first.currentClaim().fencingToken();
        mStore.restore(2, Optional.empty());
        long secondToken = acquire(manager("second")).fencingToken();
        // The store is restored from the same copy once more.
        mStore.restore(3, Optional.empty());
        long thirdToken = acquire(manager("third")).fencingToken();
        assertTrue(secondToken > firstToken, secondToken + " after " + firstToken);
        assertTrue(thirdToken > secondToken, thirdToken + " after " + secondToken);
    }

    /** Guards against a lower token than that of a claim which a build without epochs wrote. */
    @Test
    public void givesHigherTokensThanABuildThatKnowsNoEpochAndTheReverse() throws Exception {
        mStore.restore(1, Optional.empty());
        PromotionClaim former = new PromotionClaim("former", 41, false, PromotionOrder.NONE, false);
        mStore.mClaim = Optional.of(new StoredClaim(7, former));
        PromotionClaim claim = acquire(manager("next"));
        assertTrue(claim.fencingToken() > 41, claim.toString());
        // Such a build increases the stored token by one.
        PromotionClaim later =
                new PromotionClaim(
                        "former", claim.fencingToken() + 1, false, PromotionOrder.NONE, false);
        mStore.mClaim = Optional.of(new StoredClaim(9, later));
        PromotionClaim newest = acquire(manager("newest"));
        assertTrue(newest.fencingToken() > later.fencingToken(), newest.toString());
    }

    @Test
    public void increasesTokensByOneInAStoreThatReportsNoEpoch() throws Exception {
        assertEquals(acquire(manager("holder")).fencingToken(), 1);
        mNowMillis += 10_000;
        assertEquals(acquire(manager("holder")).fencingToken(), 2);
    }

    /** Guards against a write of before a restoration that replaces a claim of after it. */
    @Test
    public void holdsNoClaimThatReplacedOneWhichItNeverRead() throws Exception {
        PromotionClaim closed = new PromotionClaim("other", 5, false, PromotionOrder.NONE, false);
        mStore.restore(1, Optional.of(new StoredClaim(3, closed)));
        PromotionClaim unread =
                new PromotionClaim(
                        "other",
                        FencingTokens.next(new StoreEpoch(2), 0, "other"),
                        true,
                        PromotionOrder.NONE,
                        false);
        mStore.mBeforeWrite = () -> mStore.restore(2, Optional.of(new StoredClaim(3, unread)));
        PromotionClaim claim = acquire(manager("late"));
        assertTrue(claim.fencingToken() > unread.fencingToken(), claim + " after " + unread);
        assertEquals(mStore.mClaim.map(StoredClaim::claim), Optional.of(claim));
    }

    @Test
    public void losesItsClaimWhenTheStoreIsRestored() throws Exception {
        mStore.restore(1, Optional.empty());
        PromotionClaimManager manager = manager("holder");
        acquire(manager);
        // The copy was made after the claim was written.
        mStore.restore(2, mStore.mClaim);
        assertEquals(renew(manager), Boolean.FALSE);
    }

    @Test
    public void restsNoClaimOnAnAnswerWithoutEpochOrOfAnEpochThatHasEnded() throws Exception {
        StoreEpochTracker epochs = new StoreEpochTracker();
        epochs.observe(new StoreEpoch(3));
        PromotionClaimManager manager = manager("holder", epochs);
        for (long epoch : new long[] {0, 2}) {
            mStore.mEpoch = new StoreEpoch(epoch);
            mLoop.submit(() -> manager.acquire(mAcquired::add)).sync();
            assertTrue(mAcquired.poll(5, TimeUnit.SECONDS).isPresent(), "epoch " + epoch);
        }
        mStore.restore(3, Optional.empty());
        acquire(manager);
    }

    /** Guards against a claim beside one that the store has lost and that is still in use. */
    @Test
    public void acquiresNoClaimUntilTheRestoredStoreIsSettled() throws Exception {
        mSettled = false;
        mStore.restore(2, Optional.empty());
        PromotionClaimManager manager = manager("holder");
        mLoop.submit(() -> manager.acquire(mAcquired::add)).sync();
        assertEquals(mAcquired.poll(POLLS_MILLIS, TimeUnit.MILLISECONDS), null);
        assertTrue(mStore.mClaim.isEmpty());
        mSettled = true;
        assertEquals(mAcquired.poll(5, TimeUnit.SECONDS), Optional.empty());
    }
}
