package org.plantainferry.engine.promotion;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import org.plantainferry.engine.freshness.StoreEpoch;
import org.testng.annotations.Test;

/** Guards against a fencing token that is given out twice, or that is lower than an earlier one. */
public final class FencingTokensTest {
    private static final StoreEpoch FIRST = new StoreEpoch(1);
    private static final StoreEpoch SECOND = new StoreEpoch(2);

    @Test
    public void givesHigherTokensInALaterEpochWithoutKnowledgeOfTheEarlierOnes() {
        long token = 0;
        for (int claim = 0; claim < 100_000; claim++) {
            long next = FencingTokens.next(FIRST, token, "holder-" + claim % 7);
            assertTrue(next > token);
            token = next;
        }
        assertTrue(FencingTokens.next(SECOND, 0, "holder-0") > token);
    }

    @Test
    public void givesTwoHoldersDifferentTokensAboveTheSameOne() {
        assertNotEquals(
                FencingTokens.next(SECOND, 0, "front-1"), FencingTokens.next(SECOND, 0, "front-2"));
    }

    @Test
    public void staysPositiveInTheLastEpoch() {
        StoreEpoch last = new StoreEpoch(StoreEpoch.MAX_NUMBER);
        assertTrue(FencingTokens.next(last, 0, "holder") > FencingTokens.next(SECOND, 0, "holder"));
    }

    @Test
    public void countsByOneInAStoreWithoutEpochs() {
        assertEquals(FencingTokens.next(StoreEpoch.UNKNOWN, 4, "holder"), 5);
    }
}
