package org.plantainferry.engine.freshness;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Guards against withdrawn keys that work on because a confirmation looks younger than it is. */
public final class ConfirmedVersionTest {
    private static final long SECOND = 1_000_000_000L;

    private static ConfirmedVersion confirmedAt(long seconds) {
        ConfirmedVersion confirmed = new ConfirmedVersion(-1_000 * SECOND);
        confirmed.onStoreAnswer(7, seconds * SECOND);
        return confirmed;
    }

    @Test
    public void subtractsPeerAgeFromRequestTime() {
        ConfirmedVersion confirmed = confirmedAt(10);
        assertFalse(confirmed.onPeerAnswer(20 * SECOND, 7, 3 * SECOND));
        assertEquals(confirmed.confirmedNanos(), 17 * SECOND);
    }

    @Test
    public void doesNotConfirmWhenPeerHasNewerVersion() {
        ConfirmedVersion confirmed = confirmedAt(10);
        assertTrue(confirmed.onPeerAnswer(20 * SECOND, 8, 0));
        assertEquals(confirmed.confirmedNanos(), 10 * SECOND);
    }

    @Test
    public void doesNotConfirmWhenPeerHasOlderVersion() {
        ConfirmedVersion confirmed = confirmedAt(10);
        assertFalse(confirmed.onPeerAnswer(20 * SECOND, 6, 0));
        assertEquals(confirmed.confirmedNanos(), 10 * SECOND);
    }

    @Test
    public void ignoresOlderConfirmation() {
        ConfirmedVersion confirmed = confirmedAt(10);
        confirmed.onPeerAnswer(11 * SECOND, 7, 5 * SECOND);
        assertEquals(confirmed.confirmedNanos(), 10 * SECOND);
    }
}
