package org.plantainferry.engine.promotion;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

/** Guards what instances tell each other of replacements. */
public final class GroupFenceTest {
    private static final int RUNS = 2_000;

    /** Makes orders as instances do: an order has one server, and its term is known or not. */
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
            GroupFence one = randomFence(random);
            GroupFence other = randomFence(random);
            GroupFence third = randomFence(random);
            assertEquals(one.merge(other), other.merge(one));
            assertEquals(one.merge(other).merge(other), one.merge(other));
            assertEquals(one.merge(other).merge(third), one.merge(other.merge(third)));
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

    /** The pattern: a dark primary comes back under a new id while its successor is ordered. */
    @Test
    public void rejectsFormerPrimaryWithNewId() {
        PromotionOrder pending = new PromotionOrder(2, "successor", 0);
        PromotionOrder known = new PromotionOrder(2, "successor", 2);

        assertFalse(pending.acceptsPrimary("reborn", 1));
        assertFalse(known.acceptsPrimary("reborn", 1));
        assertTrue(pending.acceptsPrimary("successor", 2));
        assertTrue(known.acceptsPrimary("successor", 2));
    }

    /** The pattern: the server of a first order leads, though nobody learned it. */
    @Test
    public void rejectsServerOfEarlierOrderWithUnknownOutcome() {
        PromotionOrder first = new PromotionOrder(1, "first", 0);
        PromotionOrder second = first.newer(new PromotionOrder(3, "second", 0));

        assertFalse(second.acceptsPrimary("first", 2));
        assertFalse(second.newer(new PromotionOrder(3, "second", 3)).acceptsPrimary("first", 2));
    }

    @Test
    public void acceptsPromotedServerThatReturnsWithNewId() {
        assertTrue(new PromotionOrder(2, "successor", 2).acceptsPrimary("reborn", 2));
    }

    @Test
    public void acceptsAnyServerWithoutPromotionOrder() {
        assertTrue(PromotionOrder.NONE.acceptsPrimary("any", 1));
    }
}
