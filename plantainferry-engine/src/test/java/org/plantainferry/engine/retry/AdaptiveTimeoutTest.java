package org.plantainferry.engine.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Guards against answers of busy instances that always come after their timeout. */
public final class AdaptiveTimeoutTest {
    private static final long MIN_NANOS = TimeUnit.MILLISECONDS.toNanos(140);
    private static final long MAX_NANOS = TimeUnit.MILLISECONDS.toNanos(600);
    private static final long QUICK_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
    private static final long SLOW_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final AdaptiveTimeout mTimeout = new AdaptiveTimeout(MIN_NANOS, MAX_NANOS);

    private static void answer(AdaptiveTimeout timeout, long elapsedNanos, int answers) {
        for (int answer = 0; answer < answers; answer++) {
            timeout.onAnswer(elapsedNanos);
        }
    }

    @Test
    public void staysShortWhileAnswersAreQuick() {
        answer(mTimeout, QUICK_NANOS, 50);
        assertEquals(mTimeout.timeoutNanos(), MIN_NANOS);
        assertFalse(mTimeout.isExtended());
    }

    @Test
    public void exceedsTheTimeOfSlowAnswersFromTheFirstOneOn() {
        AdaptiveTimeout timeout = new AdaptiveTimeout(MIN_NANOS, MAX_NANOS);
        for (int answer = 0; answer < 20; answer++) {
            timeout.onAnswer(SLOW_NANOS);
            assertTrue(timeout.timeoutNanos() > SLOW_NANOS);
        }
    }

    @Test
    public void neverExceedsTheLongestTimeout() {
        AdaptiveTimeout timeout = new AdaptiveTimeout(MIN_NANOS, MAX_NANOS);
        answer(timeout, TimeUnit.SECONDS.toNanos(5), 10);
        assertEquals(timeout.timeoutNanos(), MAX_NANOS);
    }

    @Test
    public void becomesShortAgainWhenAnswersAreQuickAgain() {
        AdaptiveTimeout timeout = new AdaptiveTimeout(MIN_NANOS, MAX_NANOS);
        answer(timeout, SLOW_NANOS, 20);
        answer(timeout, QUICK_NANOS, 40);
        assertFalse(timeout.isExtended());
    }
}
