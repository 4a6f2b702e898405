package org.plantainferry.engine.promotion;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

/** Guards against instances that disagree on replacements or accept a replaced primary. */
public final class GroupFenceTest {
    private static final int RUNS = 2_000;

    /** Creates a fence whose order, as in production, has one server for each token. */
    private static GroupFence randomFence(Random random) {
        long orderToken = random.nextInt(4);
        long term = orderToken > 0 && random.nextBoolean() ? orderToken + 1 : 0;
        String server = orderToken == 0 ? "" : "s" + orderToken;
        return new GroupFence(
                random.nextInt(4),
                random.nextBoolean(),
                new PromotionOrder(orderToken, server, term));
    }

    @Test
    public void mergeIsCommutativeIdempotentAndAssociative() {
        Random random = new Random(7);
        for (int run = 0; run < RUNS; run++) {
            GroupFence a = randomFence(random);
            GroupFence b = randomFence(random);
            GroupFence c = randomFence(random);
            assertEquals(a.merge(b), b.merge(a));
            assertEquals(a.merge(b).merge(b), a.merge(b));
            assertEquals(a.merge(b).merge(c), a.merge(b.merge(c)));
        }
    }

    @Test
    public void staysBlockedWhenOlderReplacementEnds() {
        GroupFence fence = GroupFence.NONE.withAnnounced(3).withAnnounced(5);

        assertTrue(fence.withReleased(3, PromotionOrder.NONE).blocked());
        assertFalse(fence.withReleased(5, PromotionOrder.NONE).blocked());
    }

    @Test
    public void keepsOrderWhenLaterReplacementIsAbandoned() {
        PromotionOrder order = new PromotionOrder(4, "s2", 2);
        GroupFence fence = GroupFence.NONE.withAnnounced(3).withReleased(3, order);

        GroupFence later = fence.withAnnounced(6).withReleased(6, order);

        assertEquals(later.newestOrder(), order);
    }

    /** An unreachable primary returns with a new id while its successor is being promoted. */
    @Test
    public void rejectsFormerPrimaryWithNewId() {
        PromotionOrder pending = new PromotionOrder(2, "successor", 0);
        PromotionOrder known = new PromotionOrder(2, "successor", 2);

        assertFalse(pending.acceptsPrimary("renamed", 1));
        assertFalse(known.acceptsPrimary("renamed", 1));
        assertTrue(pending.acceptsPrimary("successor", 2));
        assertTrue(known.acceptsPrimary("successor", 2));
    }

    /** The server of the first order became the primary, but its answer was lost. */
    @Test
    public void rejectsServerOfEarlierOrderWithUnknownOutcome() {
        PromotionOrder first = new PromotionOrder(1, "first", 0);
        PromotionOrder second = first.newer(new PromotionOrder(3, "second", 0));

        assertFalse(second.acceptsPrimary("first", 2));
        assertFalse(second.newer(new PromotionOrder(3, "second", 3)).acceptsPrimary("first", 2));
    }

    @Test
    public void acceptsPromotedServerThatReturnsWithNewId() {
        assertTrue(new PromotionOrder(2, "successor", 2).acceptsPrimary("renamed", 2));
    }

    @Test
    public void acceptsAnyServerWithoutPromotionOrder() {
        assertTrue(PromotionOrder.NONE.acceptsPrimary("any", 1));
    }
}
