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
    private static final int LEAST_USES = 1_000;

    private static Optional<String> play(long seed, Mutation mutation) {
        return new ReplacementModel(seed, mutation)
                .play()
                .map(fault -> "seed " + seed + ": " + fault);
    }

    @Test
    public void usesNoPrimaryThatHasASuccessor() {
        for (long seed = 1; seed <= RUNS; seed++) {
            assertEquals(play(seed, Mutation.NONE), Optional.empty());
        }
    }

    @Test
    public void goesOnReplacingAndUsingPrimaries() {
        int promotions = 0;
        int uses = 0;
        for (long seed = 1; seed <= 100; seed++) {
            ReplacementModel model = new ReplacementModel(seed, Mutation.NONE);
            model.play();
            promotions += model.promotions();
            uses += model.uses();
        }
        assertTrue(promotions > 100, promotions + " promotions");
        assertTrue(uses > 100 * LEAST_USES / 2, uses + " uses");
    }

    /** The pattern: most instances lose power, and the store answers those that are left. */
    @Test
    public void usesPrimariesWithTheStoreAloneWhereNoMajorityIsLeft() {
        int uses = 0;
        for (long seed = 1; seed <= 300; seed++) {
            ReplacementModel model = new ReplacementModel(seed, Mutation.NONE);
            model.leave(2);
            assertEquals(model.play(), Optional.empty());
            uses += model.uses();
        }
        assertTrue(uses > 300 * LEAST_USES / 5, uses + " uses");
    }

    @DataProvider
    public Object[][] mutations() {
        return new Object[][] {
            {Mutation.NO_WAIT_FOR_LEASES},
            {Mutation.BELIEVES_EVERY_SERVER},
            {Mutation.FORGETS_PENDING_ORDERS}
        };
    }

    @Test(dataProvider = "mutations")
    public void findsAMechanismThatIsTakenOut(Mutation mutation) {
        for (long seed = 1; seed <= RUNS; seed++) {
            if (play(seed, mutation).isPresent()) {
                return;
            }
        }
        throw new AssertionError(mutation + " was not found in " + RUNS + " runs");
    }
}
