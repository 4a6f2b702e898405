package org.plantainferry.engine.configuration;

import static org.testng.Assert.assertTrue;

import org.plantainferry.engine.membership.FleetSimulation;
import org.testng.annotations.Test;

/** Guards against versions that reach a part of the fleet late, so that withdrawn keys work. */
public class ConfigurationPropagationTest {
    private static final long MILLI = FleetSimulation.MILLI;
    private static final long SECOND = 1_000 * MILLI;
    private static final int FLEET_SIZE = 520;

    /** The store's object is at most this late at an instance with a slow watch. */
    private static final long STORE_DELAY_NANOS = 3 * SECOND;

    private static final long MAX_PROPAGATION_NANOS = 5 * SECOND;

    @Test
    public void propagatesAVersionThatOneInstanceReceivesEarly() {
        FleetSimulation fleet = fleet(42_000);
        for (int i = 0; i < 3; i++) {
            fleet.changeConfiguration("d0");
            assertPropagates(fleet, "slow watches");
            fleet.runFor(SECOND);
        }
    }

    @Test
    public void propagatesAVersionThatOneInstanceReceivedBeforeAStoreOutage() {
        for (long seed = 42_001; seed < 42_004; seed++) {
            FleetSimulation fleet = fleet(seed);
            fleet.changeConfiguration("d0");
            fleet.runFor(10 * MILLI);
            fleet.mStoreUp = false;
            assertPropagates(fleet, "store lost, seed " + seed);
        }
    }

    private static FleetSimulation fleet(long seed) {
        FleetSimulation fleet = new FleetSimulation(seed, 4, FLEET_SIZE / 4);
        fleet.mStoreDelayNanos = STORE_DELAY_NANOS;
        fleet.runFor(2 * SECOND);
        return fleet;
    }

    private static void assertPropagates(FleetSimulation fleet, String what) {
        long start = fleet.mNowNanos;
        long half = 0;
        long most = 0;
        while (fleet.countUpToDate() < FLEET_SIZE) {
            fleet.runFor(10 * MILLI);
            long age = fleet.mNowNanos - start;
            half = fleet.countUpToDate() < FLEET_SIZE / 2 ? age : half;
            most = fleet.countUpToDate() < FLEET_SIZE * 99 / 100 ? age : most;
            assertTrue(
                    age <= MAX_PROPAGATION_NANOS,
                    what + ": " + fleet.countUpToDate() + " after " + age / MILLI);
        }
        System.out.printf(
                "configuration spread, %s: half %d ms, 99%% %d ms, all %d ms%n",
                what, half / MILLI, most / MILLI, (fleet.mNowNanos - start) / MILLI);
    }
}
