package org.plantainferry.gateway.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.plantainferry.engine.promotion.GroupFence;
import org.plantainferry.engine.promotion.PromotionOrder;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards which primaries may be used around a replacement. */
public final class FenceBoardTest {
    private static final String SERVICE = "svc";

    private long mNow;
    private FenceBoard mBoard;

    @BeforeMethod
    public void createBoard() {
        mNow = 0;
        mBoard = new FenceBoard(() -> mNow);
    }

    private void order(long token, String server, long term) {
        mBoard.take(
                SERVICE, new GroupFence(token, false, new PromotionOrder(token + 1, server, term)));
    }

    @Test
    public void allowsEveryPrimaryBeforeAReplacement() {
        assertEquals(mBoard.onlyPrimaries(), Map.of());
    }

    @Test
    public void allowsNoPrimaryWhileAReplacementIsAnnounced() {
        mBoard.take(SERVICE, GroupFence.NONE.withAnnounced(1));

        assertEquals(mBoard.onlyPrimaries(), Map.of(SERVICE, ""));
    }

    @Test
    public void allowsNoPrimaryUntilTheOrderedServerIsKnownToLead() {
        order(1, "s2", 0);

        assertEquals(mBoard.onlyPrimaries(), Map.of(SERVICE, ""));
        assertFalse(mBoard.verify(SERVICE, "s1", 1));
        assertEquals(mBoard.onlyPrimaries(), Map.of(SERVICE, ""));
        assertTrue(mBoard.verify(SERVICE, "s2", 2));
        assertEquals(mBoard.onlyPrimaries(), Map.of(SERVICE, "s2"));
    }

    @Test
    public void believesTheInstanceThatSaysTheOrderedServerLeads() {
        order(1, "s2", 2);

        assertEquals(mBoard.onlyPrimaries(), Map.of(SERVICE, "s2"));
        assertFalse(mBoard.needsVerification(SERVICE, "s2"));
        assertTrue(mBoard.needsVerification(SERVICE, "s1"));
    }

    @Test
    public void forgetsAVerifiedPrimaryWhenAnotherOneIsOrdered() {
        order(1, "s2", 2);
        order(3, "s3", 0);

        assertEquals(mBoard.onlyPrimaries(), Map.of(SERVICE, ""));
        assertFalse(mBoard.verify(SERVICE, "s2", 2));
    }

    /**
     * The pattern: the answer to an order is lost, and the platform carries it out seconds later.
     */
    @Test
    public void expectsAnOrderWithoutAnswerToBeCarriedOutForAWhile() {
        PromotionOrder order = new PromotionOrder(2, "s2", 0);

        assertTrue(mBoard.mayBeCarriedOut(SERVICE, order));
        mNow = TimeUnit.SECONDS.toNanos(5);
        assertTrue(mBoard.mayBeCarriedOut(SERVICE, order));
        mNow = TimeUnit.SECONDS.toNanos(7);
        assertFalse(mBoard.mayBeCarriedOut(SERVICE, order));
    }

    /** The pattern: the instance that replaces a primary dies before its order. */
    @Test
    public void releasesAGroupWhoseReplacementNeverEnds() {
        order(1, "s2", 2);
        mBoard.take(SERVICE, mBoard.fence(SERVICE).withAnnounced(5));
        mNow = TimeUnit.SECONDS.toNanos(9);
        mBoard.expire();

        assertEquals(mBoard.onlyPrimaries(), Map.of(SERVICE, "s2"));
    }
}
