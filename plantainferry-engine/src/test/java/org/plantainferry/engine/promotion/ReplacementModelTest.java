package org.plantainferry.engine.promotion;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.plantainferry.engine.promotion.ReplacementModel.Mutation;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against two primaries in use: the pattern is a replacement whose steps are torn apart by
 * freezes, restarts, cuts, late orders and servers that come back under a new id.
 */
public final class ReplacementModelTest {
    private static final int RUNS = 3_000;
    // One primary in use at five instances for most of 600 steps.
    private static final int EXPECTED_PRIMARY_USES = 1_000;

    private static Optional<String> runModel(long seed, Mutation mutation) {
        return new ReplacementModel(seed, mutation)
                .run()
                .map(fault -> "seed " + seed + ": " + fault);
    }

    @Test
    public void doesNotUseReplacedPrimary() {
        for (long seed = 1; seed <= RUNS; seed++) {
            assertEquals(runModel(seed, Mutation.NONE), Optional.empty());
        }
    }

    @Test
    public void continuesToReplaceAndUsePrimaries() {
        int promotions = 0;
        int uses = 0;
        for (long seed = 1; seed <= 100; seed++) {
            ReplacementModel model = new ReplacementModel(seed, Mutation.NONE);
            model.run();
            promotions += model.promotions();
            uses += model.primaryUses();
        }
        assertTrue(promotions > 100, promotions + " promotions");
        assertTrue(uses > 100 * EXPECTED_PRIMARY_USES / 2, uses + " uses");
    }

    /** The pattern: most instances lose power, and the store answers those that are left. */
    @Test
    public void usesPrimariesThroughStoreWithoutMajority() {
        int uses = 0;
        for (long seed = 1; seed <= 300; seed++) {
            ReplacementModel model = new ReplacementModel(seed, Mutation.NONE);
            model.stopInstancesExceptFirst(2);
            assertEquals(model.run(), Optional.empty());
            uses += model.primaryUses();
        }
        assertTrue(uses > 300 * EXPECTED_PRIMARY_USES / 5, uses + " uses");
    }

    @DataProvider
    public Object[][] mutations() {
        return new Object[][] {
            {Mutation.SKIP_LEASE_WAIT},
            {Mutation.ACCEPT_EVERY_PRIMARY},
            {Mutation.IGNORE_PENDING_ORDERS}
        };
    }

    @Test(dataProvider = "mutations")
    public void detectsRemovedMechanism(Mutation mutation) {
        for (long seed = 1; seed <= RUNS; seed++) {
            if (runModel(seed, mutation).isPresent()) {
                return;
            }
        }
        throw new AssertionError(mutation + " was not found in " + RUNS + " runs");
    }
}
