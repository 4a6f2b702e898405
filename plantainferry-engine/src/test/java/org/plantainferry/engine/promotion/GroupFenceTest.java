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
    private static GroupFence random(Random random) {
        long orderToken = random.nextInt(4);
        long term = orderToken > 0 && random.nextBoolean() ? orderToken + 1 : 0;
        String server = orderToken == 0 ? "" : "s" + orderToken;
        return new GroupFence(
                random.nextInt(4), random.nextBoolean(), new Succession(orderToken, server, term));
    }

    @Test
    public void joinsToTheSameInAnyOrderAndAnyNumberOfTimes() {
        Random random = new Random(7);
        for (int run = 0; run < RUNS; run++) {
            GroupFence one = random(random);
            GroupFence other = random(random);
            GroupFence third = random(random);
            assertEquals(one.join(other), other.join(one));
            assertEquals(one.join(other).join(other), one.join(other));
            assertEquals(one.join(other).join(third), one.join(other.join(third)));
        }
    }

    @Test
    public void staysBlockedWhenAnOlderReplacementEnds() {
        GroupFence fence = GroupFence.NONE.announced(3).announced(5);

        assertTrue(fence.released(3, Succession.NONE).blocked());
        assertFalse(fence.released(5, Succession.NONE).blocked());
    }

    @Test
    public void keepsTheOrderWhenALaterReplacementIsGivenUp() {
        Succession order = new Succession(4, "s2", 2);
        GroupFence fence = GroupFence.NONE.announced(3).released(3, order);

        GroupFence later = fence.announced(6).released(6, order);

        assertEquals(later.succession(), order);
    }

    /** The pattern: a dark primary comes back under a new id while its successor is ordered. */
    @Test
    public void believesNoFormerPrimaryUnderANewId() {
        Succession pending = new Succession(2, "successor", 0);
        Succession known = new Succession(2, "successor", 2);

        assertFalse(pending.accepts("reborn", 1));
        assertFalse(known.accepts("reborn", 1));
        assertTrue(pending.accepts("successor", 2));
        assertTrue(known.accepts("successor", 2));
    }

    /** The pattern: the server of a first order leads, though nobody learned it. */
    @Test
    public void believesNoServerOfAnEarlierOrderWhoseOutcomeWasUnknown() {
        Succession first = new Succession(1, "first", 0);
        Succession second = first.newer(new Succession(3, "second", 0));

        assertFalse(second.accepts("first", 2));
        assertFalse(second.newer(new Succession(3, "second", 3)).accepts("first", 2));
    }

    @Test
    public void believesTheSuccessorWhenItComesBackUnderANewId() {
        assertTrue(new Succession(2, "successor", 2).accepts("reborn", 2));
    }

    @Test
    public void believesEveryServerWhereNoneWasEverOrdered() {
        assertTrue(Succession.NONE.accepts("any", 1));
    }
}
