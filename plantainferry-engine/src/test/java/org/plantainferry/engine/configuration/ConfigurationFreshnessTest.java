package org.plantainferry.engine.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.plantainferry.api.FailureDomain;
import org.plantainferry.engine.membership.FleetSimulation;
import org.testng.annotations.Test;

/** Guards against keys that are accepted although their withdrawal is unknown for too long. */
public class ConfigurationFreshnessTest {
    private static final long MILLI = FleetSimulation.MILLI;
    private static final long SECOND = 1_000 * MILLI;
    private static final long FIRST_SEED = 30_000;
    private static final int SEED_COUNT = 1_000;

    @Test
    public void isIsolatedWhenAWithdrawalIsUnknownForTooLong() {
        long[] seen = new long[Freshness.values().length];
        long latest = 0;
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
            FleetSimulation fleet = new FleetSimulation(seed, 3, 3);
            for (int i = 0; i < 250; i++) {
                if (fleet.mRandom.nextInt(20) == 0) {
                    injectRandomFault(fleet);
                }
                if (fleet.mRandom.nextInt(10) == 0) {
                    fleet.changeConfiguration("d" + fleet.mRandom.nextInt(3));
                }
                fleet.runFor(100 * MILLI);
                for (FleetSimulation.Instance each : fleet.mInstances) {
                    latest = Math.max(latest, assertNotStale(seed, fleet, each, seen));
                }
            }
        }
        System.out.printf(
                "freshness: fresh %d, outage %d, isolated %d; outage at most %d ms late%n",
                seen[0], seen[1], seen[2], latest / MILLI);
        assertTrue(seen[0] > SEED_COUNT && seen[1] > SEED_COUNT && seen[2] > SEED_COUNT);
    }

    /** Returns how long a version had been accepted that an instance in an outage did not know. */
    private static long assertNotStale(
            long seed, FleetSimulation fleet, FleetSimulation.Instance instance, long[] seen) {
        if (fleet.isPaused(instance.mMember.id().value())) {
            return 0;
        }
        Freshness freshness =
                instance.mFreshness.window(fleet.mNowNanos).freshnessAt(fleet.mNowNanos);
        seen[freshness.ordinal()]++;
        int next = (int) instance.mConfigurationState.current().version() + 1;
        if (freshness == Freshness.ISOLATED || next >= fleet.mAcceptedNanos.size()) {
            return 0;
        }
        long age = fleet.mNowNanos - fleet.mAcceptedNanos.get(next);
        assertTrue(age <= 5 * SECOND, "seed " + seed + ": " + freshness + " after " + age / MILLI);
        return freshness == Freshness.OUTAGE ? age : 0;
    }

    /** Guards against refusals at each of several hundred configuration changes a day. */
    @Test
    public void staysFreshWhenANewerVersionComesIntoForce() {
        ConfigurationFreshness freshness = new ConfigurationFreshness(new FailureDomain("como-a"));
        freshness.onVersionInForce(1);
        freshness.onStoreAnswer(1, SECOND, SECOND);
        freshness.onVersionInForce(2);
        assertEquals(freshness.window(2 * SECOND).freshnessAt(2 * SECOND), Freshness.FRESH);
        assertEquals(freshness.window(6 * SECOND).freshnessAt(6 * SECOND), Freshness.ISOLATED);
    }

    @Test
    public void staysFreshWithoutFaultsAndReportsAnOutageOnAllInstances() {
        FleetSimulation fleet = new FleetSimulation(FIRST_SEED, 3, 4);
        fleet.runFor(5 * SECOND);
        for (int i = 0; i < 600; i++) {
            fleet.runFor(100 * MILLI);
            assertFreshness(fleet, Freshness.FRESH);
        }
        fleet.mStoreUp = false;
        fleet.runFor(6 * SECOND);
        for (int i = 0; i < 6_000; i++) {
            fleet.runFor(100 * MILLI);
            assertFreshness(fleet, Freshness.OUTAGE);
        }
        fleet.mStoreUp = true;
        fleet.runFor(6 * SECOND);
        assertFreshness(fleet, Freshness.FRESH);
    }

    private static void assertFreshness(FleetSimulation fleet, Freshness expected) {
        for (FleetSimulation.Instance each : fleet.mInstances) {
            Freshness freshness =
                    each.mFreshness.window(fleet.mNowNanos).freshnessAt(fleet.mNowNanos);
            assertEquals(
                    freshness, expected, each.mMember.id() + " at " + fleet.mNowNanos / SECOND);
        }
    }

    private static void injectRandomFault(FleetSimulation fleet) {
        switch (fleet.mRandom.nextInt(8)) {
            case 0 -> fleet.mStoreUp = false;
            case 1 -> fleet.mStoreUp = true;
            case 2 -> fleet.partition("d" + fleet.mRandom.nextInt(3));
            case 3 -> fleet.partition("i" + fleet.mRandom.nextInt(9));
            case 4 ->
                    fleet.mPausedUntil.put(
                            "i" + fleet.mRandom.nextInt(9),
                            fleet.mNowNanos + fleet.mRandom.nextLong(10 * SECOND));
            case 5 -> fleet.mMaxNetworkDelayNanos = 1 + fleet.mRandom.nextLong(2 * SECOND);
            default -> {
                fleet.mPartitioned.clear();
                fleet.mMaxNetworkDelayNanos = 3 * MILLI;
            }
        }
    }
}
