package org.plantainferry.engine.freshness;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against beliefs that look young because the machine was suspended. */
public final class SuspensionAwareClockTest {
    private static final long SECOND = 1_000_000_000L;

    private AtomicLong mSteady;
    private AtomicLong mWall;

    @BeforeMethod
    public void resetClocks() {
        mSteady = new AtomicLong();
        mWall = new AtomicLong(1_000_000);
    }

    private void advance(long steadyMillis, long wallMillis) {
        mSteady.addAndGet(steadyMillis * 1_000_000L);
        mWall.addAndGet(wallMillis);
    }

    @Test
    public void countsSuspension() {
        SuspensionAwareClock clock = new SuspensionAwareClock(mSteady::get, mWall::get);
        long before = clock.getAsLong();
        advance(1_000, 6_000);
        assertEquals(clock.getAsLong() - before, 6 * SECOND);
    }

    @Test
    public void ignoresBackwardStepOfWallClock() {
        SuspensionAwareClock clock = new SuspensionAwareClock(mSteady::get, mWall::get);
        long before = clock.getAsLong();
        advance(1_000, -2_400);
        assertEquals(clock.getAsLong() - before, SECOND);
    }

    @Test
    public void ignoresSmallClockDifferences() {
        SuspensionAwareClock clock = new SuspensionAwareClock(mSteady::get, mWall::get);
        long before = clock.getAsLong();
        advance(1_000, 1_100);
        assertEquals(clock.getAsLong() - before, SECOND);
    }
}
