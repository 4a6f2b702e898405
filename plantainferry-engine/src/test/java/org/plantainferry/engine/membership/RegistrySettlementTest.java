package org.plantainferry.engine.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.plantainferry.engine.freshness.StoreEpoch;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a majority that is counted from a list which lacks running instances. */
public final class RegistrySettlementTest {
    private static final long SETTLING_NANOS = 4_000;
    private static final StoreEpoch FIRST = new StoreEpoch(1);
    private static final StoreEpoch SECOND = new StoreEpoch(2);

    private RegistrySettlement mSettlement;

    @BeforeMethod
    public void create() {
        mSettlement = new RegistrySettlement(SETTLING_NANOS);
    }

    @Test
    public void isSettledAtOnceInAStoreWithoutEpochs() {
        mSettlement.onEpoch(StoreEpoch.UNKNOWN, 10);
        assertTrue(mSettlement.isSettled(10));
        assertFalse(mSettlement.needsRecord(10_000));
    }

    @Test
    public void waitsInAnEpochThatNobodyHasRecorded() {
        mSettlement.onEpoch(FIRST, 100);
        assertFalse(mSettlement.isSettled(100));
        assertEquals(mSettlement.remainingNanos(1_100), 3_000);
        assertFalse(mSettlement.isSettled(4_099));
        assertTrue(mSettlement.isSettled(4_100));
        assertTrue(mSettlement.needsRecord(4_100));
    }

    @Test
    public void waitsNotInARecordedEpoch() {
        mSettlement.onRecorded(FIRST);
        mSettlement.onEpoch(FIRST, 100);
        assertTrue(mSettlement.isSettled(100));
        assertFalse(mSettlement.needsRecord(9_000));
    }

    @Test
    public void waitsAgainAfterEachRestoration() {
        mSettlement.onRecorded(FIRST);
        mSettlement.onEpoch(FIRST, 100);
        mSettlement.onEpoch(SECOND, 5_000);
        // A page of the earlier epoch arrives late.
        mSettlement.onEpoch(FIRST, 6_000);
        mSettlement.onRecorded(FIRST);
        assertFalse(mSettlement.isSettled(8_999));
        assertTrue(mSettlement.isSettled(9_000));
        mSettlement.onRecorded(SECOND);
        mSettlement.onEpoch(new StoreEpoch(3), 9_100);
        assertFalse(mSettlement.isSettled(9_200));
    }
}
