package org.plantainferry.engine.processor;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Guards against a thread whose lack of processor time is not seen, or is seen when it is over. */
public final class ProcessorShortageTest {
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final ThreadDelay mDelay = new ThreadDelay();
    private final ProcessorShortage mShortage = new ProcessorShortage();

    @Test
    public void countsATaskThatIsOverdueBeforeItRuns() {
        ThreadDelay delay = new ThreadDelay();
        delay.onScheduled(INTERVAL_NANOS);
        assertEquals(delay.delayNanos(INTERVAL_NANOS + LATE_NANOS), LATE_NANOS);
        assertTrue(delay.isMeasuring());
    }

    @Test
    public void measuresNoDelayBeforeTheTaskIsDue() {
        mDelay.onScheduled(INTERVAL_NANOS);
        assertEquals(mDelay.delayNanos(INTERVAL_NANOS / 2), 0);
        mDelay.onRun(INTERVAL_NANOS);
        assertEquals(mDelay.delayNanos(INTERVAL_NANOS), 0);
        assertFalse(mDelay.isMeasuring());
    }

    @Test
    public void takesOneLongDelayForNoShortage() {
        ProcessorShortage shortage = new ProcessorShortage();
        for (int run = 0; run < 10; run++) {
            long delayNanos = run % 2 == 0 ? LATE_NANOS : 0;
            assertEquals(
                    shortage.onDelay(delayNanos, run * INTERVAL_NANOS),
                    ProcessorShortage.Change.NONE);
        }
        assertFalse(shortage.isShort());
    }

    @Test
    public void endsAShortageOnlyAfterSeveralShortDelays() {
        mShortage.onDelay(LATE_NANOS, -INTERVAL_NANOS);
        assertEquals(mShortage.onDelay(LATE_NANOS, 0), ProcessorShortage.Change.BEGUN);
        for (int run = 1; run < 5; run++) {
            assertEquals(mShortage.onDelay(0, run * INTERVAL_NANOS), ProcessorShortage.Change.NONE);
        }
        assertTrue(mShortage.isShort());
        assertEquals(mShortage.onDelay(0, 5 * INTERVAL_NANOS), ProcessorShortage.Change.ENDED);
        assertFalse(mShortage.isShort());
        assertEquals(mShortage.durationNanos(), 5 * INTERVAL_NANOS);
        assertEquals(mShortage.longestNanos(), LATE_NANOS);
    }
}
