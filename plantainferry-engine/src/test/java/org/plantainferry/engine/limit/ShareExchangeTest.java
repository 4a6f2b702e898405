package org.plantainferry.engine.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.WorkspaceName;
import org.plantainferry.api.configuration.Configuration;
import org.testng.annotations.Test;

/** Guards against deposits and grants on which a holder and its allocator disagree. */
public class ShareExchangeTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final InstanceId HOLDER = new InstanceId("holder");
    private static final InstanceId ALLOCATOR = new InstanceId("allocator");
    private static final WorkspaceName WORKSPACE = ShareSimulation.workspace(0);

    private final Configuration mConfiguration = ShareSimulation.configuration(1, 2, 100, 20, 4);
    private long mSequence;

    /** Guards against slots that the holder spends while the allocator lends them. */
    @Test
    public void renewsAnUnlistedDepositOnlyBeforeItExpires() {
        ShareAllocator allocator = new ShareAllocator(0, new SlotConfiguration(mConfiguration), 1);
        ShareAnswer first = answer(allocator, MILLI, 0, false, List.of());
        ShareAnswer second =
                answer(allocator, 2 * MILLI, first.nonce(), false, List.of(share(4, 0, 0)));
        ShareAnswer third = answer(allocator, 1_900 * MILLI, second.nonce(), true, List.of());
        ShareAnswer fourth = answer(allocator, 2_003 * MILLI, third.nonce(), true, List.of());
        assertEquals(second.depositedSlots(), 4);
        assertEquals(third.depositedSlots(), 4, "still running");
        assertEquals(fourth.depositedSlots(), 0, "ended at 2,002 ms, and may be used elsewhere");
    }

    /** Guards against a withdrawn deposit that the allocator prolongs because it is not listed. */
    @Test
    public void listsWithdrawnDepositsAndOmitsIdleOnes() {
        SlotConfiguration terms = new SlotConfiguration(mConfiguration);
        ShareHolder holder = new ShareHolder(0, HOLDER, terms);
        ShareAllocator allocator = new ShareAllocator(0, terms, 1);
        int unlisted = 0;
        for (long now = 10 * MILLI; now < 2_000 * MILLI; now += 10 * MILLI) {
            for (ShareRequest request : exchange(now, 4, holder, allocator)) {
                unlisted += request.shares().isEmpty() ? 1 : 0;
            }
        }
        assertTrue(unlisted >= 3, "requests without entries: " + unlisted);
        int requests = 0;
        for (long now = 2_000 * MILLI; now < 3_500 * MILLI; now += 10 * MILLI) {
            for (ShareRequest request : exchange(now, 0, holder, allocator)) {
                requests++;
                assertEquals(request.shares().size(), 2, "both deposits must be listed");
                request.shares().forEach(each -> assertEquals(each.depositedSlots(), 0));
            }
        }
        assertTrue(requests > 0);
    }

    /** Guards against capacity that stays lent because the grant after it was forgotten first. */
    @Test
    public void acknowledgesAGrantThatHasExpiredAsReplacement() {
        BorrowerState borrower = new BorrowerState();
        borrower.addGrant(1, new ShareAnswer.Grant(WORKSPACE, 100, 20, 5, 1_000 * MILLI, 0), 0);
        borrower.addGrant(2, new ShareAnswer.Grant(WORKSPACE, 0, 0, 0, 20 * MILLI, 0), 10 * MILLI);
        borrower.removeExpired(40 * MILLI);
        assertEquals(borrower.grantedCapacity(40 * MILLI), 20.0);
        borrower.acknowledge(40 * MILLI, 2);
        assertEquals(borrower.grantedCapacity(40 * MILLI), 0.0);
    }

    /** Guards against a division that keeps a part for an instance which lost its traffic. */
    @Test
    public void ignoresTheDemandOfASilentBorrowerWithoutAGrant() {
        BorrowerState borrower = new BorrowerState();
        borrower.recordRequest(0, new ShareRequest.Share(WORKSPACE, 1, 0, 80, 0, 0));
        assertTrue(borrower.isActive(90 * MILLI));
        assertFalse(borrower.isActive(110 * MILLI));
        borrower.addGrant(1, new ShareAnswer.Grant(WORKSPACE, 80, 10, 0, 1_000 * MILLI, 0), 0);
        assertTrue(borrower.isActive(110 * MILLI), "has not asked because it has a grant");
    }

    /** Guards against refusals because waiting callers took a place with each repeated try. */
    @Test
    public void keepsOneQueuePositionForARetryingCaller() {
        WorkspaceTokenBucket bucket = new WorkspaceTokenBucket(0);
        bucket.setOwnLimit(0, 100, 20, TimeUnit.HOURS.toNanos(1));
        assertTrue(bucket.tryAcquire(0) instanceof Acquisition.Wait, "asks");
        bucket.endTokenRequest(0, false);
        assertTrue(bucket.tryAcquire(0) instanceof Acquisition.Wait, "is queued");
        for (int i = 0; i < 20; i++) {
            assertTrue(bucket.retryAcquire(0) instanceof Acquisition.Wait);
        }
        assertTrue(bucket.tryAcquire(0) instanceof Acquisition.Wait, "one place is taken, not 21");
    }

    /** Guards against a refusal when the pool of the allocator misses a part of a token. */
    @Test
    public void tellsAWaitingBorrowerWhenToAskAgain() {
        Configuration slow = ShareSimulation.configuration(1, 1, 20, 5, 4);
        ShareAllocator allocator = new ShareAllocator(0, new SlotConfiguration(slow), 1);
        InstanceId other = new InstanceId("other");
        allocator.handleRequest(
                0, new ShareRequest(other, 1, 1, 0, false, List.of(share(0, 10, 0))));
        ShareAnswer first = answer(allocator, MILLI, 0, false, List.of());
        ShareAnswer second =
                answer(allocator, 2 * MILLI, first.nonce(), false, List.of(share(4, 5, 1)));
        long after = second.grants().get(0).retryAfterNanos();
        assertTrue(after > 0 && after <= 50 * MILLI, "20 tokens a second, told " + after);
    }

    private ShareAnswer answer(
            ShareAllocator allocator,
            long now,
            long nonce,
            boolean prolongs,
            List<ShareRequest.Share> shares) {
        mSequence++;
        ShareRequest request = new ShareRequest(HOLDER, 1, mSequence, nonce, prolongs, shares);
        return allocator.handleRequest(now, request).answer().orElseThrow();
    }

    private static ShareRequest.Share share(int slots, double demand, int waiting) {
        return new ShareRequest.Share(WORKSPACE, slots, 0, demand, 0, waiting);
    }

    private static List<ShareRequest> exchange(
            long now, int slots, ShareHolder holder, ShareAllocator allocator) {
        List<ShareRequest> requests =
                holder.tick(now, slots, name -> List.of(ALLOCATOR)).stream()
                        .map(SendShareRequest::request)
                        .toList();
        for (ShareRequest request : requests) {
            allocator
                    .handleRequest(now, request)
                    .answer()
                    .ifPresent(answer -> holder.applyAnswer(now, ALLOCATOR, answer));
        }
        return requests;
    }
}
