package org.plantainferry.engine.configuration;

import static org.testng.Assert.assertTrue;

import org.plantainferry.engine.membership.FleetSimulation;
import org.testng.annotations.Test;

/** Guards against versions that reach a part of the fleet late, so that withdrawn keys work. */
public class ConfigurationPropagationTest {
    private static final long MILLI = FleetSimulation.MILLI;
    private static final long SECOND = 1_000 * MILLI;
    private static final int SIZE = 520;

    /** The store's object is at most this late at an instance with a slow watch. */
    private static final long SLOW = 3 * SECOND;

    private static final long LIMIT = 5 * SECOND;

    @Test
    public void spreadsAVersionThatOneInstanceSawEarly() {
        FleetSimulation fleet = fleet(42_000);
        for (int i = 0; i < 3; i++) {
            fleet.change("d0");
            expectSpread(fleet, "slow watches");
            fleet.runFor(SECOND);
        }
    }

    @Test
    public void spreadsAVersionThatOneInstanceSawBeforeTheStoreWasLost() {
        for (long seed = 42_001; seed < 42_004; seed++) {
            FleetSimulation fleet = fleet(seed);
            fleet.change("d0");
            fleet.runFor(10 * MILLI);
            fleet.mStoreUp = false;
            expectSpread(fleet, "store lost, seed " + seed);
        }
    }

    private static FleetSimulation fleet(long seed) {
        FleetSimulation fleet = new FleetSimulation(seed, 4, SIZE / 4);
        fleet.mStoreDelay = SLOW;
        fleet.runFor(2 * SECOND);
        return fleet;
    }

    private static void expectSpread(FleetSimulation fleet, String what) {
        long start = fleet.mNow;
        long half = 0;
        long most = 0;
        while (fleet.countUpToDate() < SIZE) {
            fleet.runFor(10 * MILLI);
            long age = fleet.mNow - start;
            half = fleet.countUpToDate() < SIZE / 2 ? age : half;
            most = fleet.countUpToDate() < SIZE * 99 / 100 ? age : most;
            assertTrue(age <= LIMIT, what + ": " + fleet.countUpToDate() + " after " + age / MILLI);
        }
        System.out.printf(
                "configuration spread, %s: half %d ms, 99%% %d ms, all %d ms%n",
                what, half / MILLI, most / MILLI, (fleet.mNow - start) / MILLI);
    }
}
