package org.plantainferry.engine.freshness;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Guards against a malformed message that makes an old fact look new. */
public final class PeerAgeTest {
    @Test
    public void readsPlausibleAges() {
        assertEquals(PeerAge.nanos(0), 0);
        assertEquals(PeerAge.nanos(250), 250_000_000L);
    }

    @Test
    public void takesNumbersThatOverflowOrAreNegativeForVeryOld() {
        assertEquals(PeerAge.nanos(-1), PeerAge.OLDEST_NANOS);
        assertEquals(PeerAge.nanos(Long.MAX_VALUE), PeerAge.OLDEST_NANOS);
        assertEquals(PeerAge.nanos(Long.MAX_VALUE / 1_000_000 + 1), PeerAge.OLDEST_NANOS);
    }
}
