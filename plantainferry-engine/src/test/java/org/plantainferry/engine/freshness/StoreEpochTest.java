package org.plantainferry.engine.freshness;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against states of the store that are compared across a restoration, and odd epochs. */
public final class StoreEpochTest {
    /** Provides texts that are no epoch. */
    @DataProvider
    public Object[][] unusableTexts() {
        return new Object[][] {
            {""}, {"two"}, {"-1"}, {"0"}, {"1.5"}, {"2147483648"}, {"9".repeat(400)}, {"1 2"}
        };
    }

    @Test(dataProvider = "unusableTexts")
    public void readsUnusableTextsAsUnknown(String text) {
        assertEquals(StoreEpoch.parse(Optional.of(text)), StoreEpoch.UNKNOWN);
    }

    @Test
    public void readsAMissingTextAsUnknown() {
        assertEquals(StoreEpoch.parse(Optional.empty()), StoreEpoch.UNKNOWN);
    }

    @Test
    public void readsANumber() {
        assertEquals(StoreEpoch.parse(Optional.of(" 17 ")), new StoreEpoch(17));
    }

    @Test
    public void differsOnlyFromAnotherKnownEpoch() {
        assertTrue(new StoreEpoch(1).differsFrom(new StoreEpoch(2)));
        assertFalse(new StoreEpoch(2).differsFrom(new StoreEpoch(2)));
        assertFalse(new StoreEpoch(2).differsFrom(StoreEpoch.UNKNOWN));
        assertFalse(StoreEpoch.UNKNOWN.differsFrom(new StoreEpoch(2)));
    }

    @Test
    public void ordersALowerNumberOfALaterEpochAfterAHigherOneOfAnEarlierEpoch() {
        StoreRevision before = new StoreRevision(new StoreEpoch(1), 120);
        StoreRevision after = new StoreRevision(new StoreEpoch(2), 100);
        assertTrue(after.compareTo(before) > 0);
        assertTrue(StoreRevision.NONE.compareTo(before) < 0);
        assertEquals(StoreRevision.withoutEpoch(120).orIn(new StoreEpoch(1)), before);
        assertEquals(after.orIn(new StoreEpoch(1)), after);
    }
}
