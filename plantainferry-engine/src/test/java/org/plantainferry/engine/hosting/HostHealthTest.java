package org.plantainferry.engine.hosting;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against statements that wait for instances which are gone, stopped or about to exit, and
 * against instances that stay unused after they have come back.
 */
public final class HostHealthTest {
    private static final long START_NANOS = Long.MAX_VALUE - 5;

    private HostHealth mHealth;

    @BeforeMethod
    public void createHealth() {
        mHealth = new HostHealth();
    }

    private static long at(long millis) {
        // The clock overflows during each test.
        return START_NANOS + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private void establish(long millis) {
        mHealth.onOpening();
        mHealth.onEstablished(at(millis));
    }

    @Test
    public void isUsableOnlyWithAnEstablishedLink() {
        assertTrue(mHealth.mayOpen(at(0)));
        mHealth.onOpening();
        assertFalse(mHealth.mayOpen(at(0)));
        assertFalse(mHealth.isUsable(at(0)));
        mHealth.onEstablished(at(1));
        assertTrue(mHealth.isUsable(at(1)));
        mHealth.onClosed();
        assertFalse(mHealth.isUsable(at(2)));
        assertTrue(mHealth.mayOpen(at(2)));
    }

    @Test
    public void triesADeadEntryLessAndLessOften() {
        long millis = 0;
        int attempts = 0;
        while (millis < 60_000) {
            if (mHealth.mayOpen(at(millis))) {
                attempts++;
                mHealth.onOpening();
                mHealth.onFailure(at(millis));
            }
            millis += 10;
        }
        assertTrue(attempts >= 6 && attempts <= 10, "attempts in a minute: " + attempts);
    }

    @Test
    public void avoidsASilentHostUntilItGivesASign() {
        establish(0);
        mHealth.onAwaiting(at(1_000));
        assertFalse(mHealth.fallsSilent(at(1_290)));
        mHealth.onSign(at(1_290));
        assertFalse(mHealth.fallsSilent(at(1_580)));
        assertTrue(mHealth.fallsSilent(at(1_600)));
        assertFalse(mHealth.fallsSilent(at(1_700)), "reported twice");
        assertFalse(mHealth.isUsable(at(9_000)));
        mHealth.onSign(at(9_000));
        assertTrue(mHealth.isUsable(at(9_000)));
    }

    @Test
    public void expectsNoSignWhileNothingIsAwaited() {
        establish(0);
        assertFalse(mHealth.fallsSilent(at(60_000)));
        mHealth.onAwaiting(at(60_000));
        assertFalse(mHealth.fallsSilent(at(60_100)));
        mHealth.onNothingAwaited();
        assertFalse(mHealth.fallsSilent(at(120_000)));
        assertTrue(mHealth.isUsable(at(120_000)));
    }

    @Test
    public void passesNothingToAHostThatLeavesAndUsesTheNextProcessOfItsName() {
        establish(0);
        mHealth.onLeaving();
        assertFalse(mHealth.isUsable(at(1)));
        assertFalse(mHealth.mayOpen(at(1)), "the link still has the open transactions");
        mHealth.onFailure(at(5_000));
        assertFalse(mHealth.mayOpen(at(5_100)));
        assertTrue(mHealth.mayOpen(at(5_600)));
        establish(5_600);
        assertTrue(mHealth.isUsable(at(5_600)));
    }

    @Test
    public void forgetsEarlierFailuresOfAHostThatHasServed() {
        for (int failure = 0; failure < 6; failure++) {
            mHealth.onOpening();
            mHealth.onFailure(at(0));
        }
        establish(20_000);
        assertEquals(mHealth.onFailure(at(60_000)), TimeUnit.MILLISECONDS.toNanos(500));
    }
}
