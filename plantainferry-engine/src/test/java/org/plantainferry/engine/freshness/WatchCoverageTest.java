package org.plantainferry.engine.freshness;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Guards against confirmations that lapse between two watches, or look younger than they are. */
public final class WatchCoverageTest {
    private static final long MILLI = 1_000_000L;

    @Test
    public void earlyAnswerCoversOnlyRequestTime() {
        assertEquals(WatchCoverage.coveredNanos(100, 200, 2_000 * MILLI, true), 100);
        assertEquals(WatchCoverage.coveredNanos(100, 5_000 * MILLI, 2_000 * MILLI, false), 100);
    }

    @Test
    public void subtractsMarginForMissedEvents() {
        long covered = WatchCoverage.coveredNanos(0, 2_010 * MILLI, 2_000 * MILLI, true);
        assertEquals(covered, 800 * MILLI);
    }

    @Test
    public void consecutiveWatchesKeepConfirmationWithinBound() {
        // The pattern: all instances watch in step, so that none can help another.
        long bound = 4_800 * MILLI;
        long wait = 2_400 * MILLI;
        long answer = 200 * MILLI;
        long covered = 0;
        long oldest = 0;
        for (long sent = 0; sent < 60_000 * MILLI; sent += wait + answer) {
            long arrived = sent + wait + answer;
            oldest = Math.max(oldest, arrived - covered);
            covered = WatchCoverage.coveredNanos(sent, arrived, wait, true);
        }
        assertTrue(oldest < bound, "oldest confirmation: " + oldest / MILLI + " ms");
    }
}
