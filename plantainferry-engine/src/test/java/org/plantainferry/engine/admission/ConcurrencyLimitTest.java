package org.plantainferry.engine.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.plantainferry.engine.admission.ConcurrencyLimit.Outcome;
import org.testng.annotations.Test;

/** Guards against overload of a server and against a limit that never recovers. */
public class ConcurrencyLimitTest {
    private static final long MILLI = 1_000_000L;

    private static void completeFullLoad(
            ConcurrencyLimit limit, Outcome outcome, long latency, long now) {
        int taken = 0;
        while (limit.tryAcquire()) {
            taken++;
        }
        for (int i = 0; i < taken; i++) {
            limit.release(outcome, latency, now);
        }
    }

    /** The bound must hold at the maximum. */
    @Test
    public void boundsRequestsInFlight() {
        ConcurrencyLimit limit = new ConcurrencyLimit(3);
        for (int i = 0; i < 3; i++) {
            assertTrue(limit.tryAcquire());
        }
        assertFalse(limit.tryAcquire());
        assertEquals(limit.inFlight(), 3);
    }

    /** Busy answers must lower the limit, never below 1, and successes must raise it again. */
    @Test
    public void shrinksOnBusyAndRecovers() {
        ConcurrencyLimit limit = new ConcurrencyLimit(8);
        for (int i = 1; i <= 20; i++) {
            completeFullLoad(limit, Outcome.BUSY, MILLI, i * 200 * MILLI);
        }
        assertEquals(limit.limit(), 1);
        for (int i = 0; i < 50; i++) {
            completeFullLoad(limit, Outcome.ANSWERED, MILLI, 5_000 * MILLI + i * MILLI);
        }
        assertEquals(limit.limit(), 8);
    }

    /** A smaller share must hold at once for new requests, and a larger one must be reached. */
    @Test
    public void followsChangedMaximum() {
        ConcurrencyLimit limit = new ConcurrencyLimit(4);
        for (int i = 0; i < 4; i++) {
            limit.tryAcquire();
        }
        limit.setMaximum(2);
        limit.release(Outcome.ANSWERED, MILLI, 0);
        limit.release(Outcome.ANSWERED, MILLI, 0);
        assertFalse(limit.tryAcquire());
        limit.setMaximum(3);
        limit.release(Outcome.ANSWERED, MILLI, 0);
        limit.release(Outcome.ANSWERED, MILLI, 0);
        for (int i = 0; i < 10; i++) {
            completeFullLoad(limit, Outcome.ANSWERED, MILLI, MILLI);
        }
        assertEquals(limit.limit(), 3);
    }

    /** Several refusals of the same moment must count once. */
    @Test
    public void shrinksOnceForSimultaneousRefusals() {
        ConcurrencyLimit limit = new ConcurrencyLimit(10);
        completeFullLoad(limit, Outcome.BUSY, MILLI, MILLI);
        assertEquals(limit.limit(), 7);
    }

    /** A server that slows down under load must get less of it. */
    @Test
    public void shrinksWhenLatencyGrows() {
        ConcurrencyLimit limit = new ConcurrencyLimit(8);
        completeFullLoad(limit, Outcome.ANSWERED, MILLI, 0);
        for (int i = 1; i <= 20; i++) {
            completeFullLoad(limit, Outcome.ANSWERED, 50 * MILLI, i * 200 * MILLI);
        }
        assertTrue(limit.limit() < 6, "limit " + limit.limit());
    }
}
