package org.plantainferry.engine.freshness;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Guards against a silent connection whose instance knows changes that never arrive. */
public final class FeedLagTest {
    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Test
    public void toleratesAChangeInTransit() {
        FeedLag lag = new FeedLag();
        assertFalse(lag.onAnswer(true, millis(0)));
        assertTrue(lag.isBehind());
        assertFalse(lag.onAnswer(true, millis(250)));
        assertFalse(lag.onAnswer(false, millis(300)));
        assertFalse(lag.isBehind());
    }

    @Test
    public void replacesAConnectionThatStaysBehind() {
        FeedLag lag = new FeedLag();
        lag.onAnswer(true, millis(0));
        assertTrue(lag.onAnswer(true, millis(500)));
    }

    @Test
    public void waitsAgainAfterAConnectionWasReplaced() {
        FeedLag lag = new FeedLag();
        lag.onAnswer(true, millis(0));
        lag.onAnswer(true, millis(500));
        assertFalse(lag.onAnswer(true, millis(750)));
    }
}
