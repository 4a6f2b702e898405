package org.plantainferry.engine.quota;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.plantainferry.engine.catalog.WorkspaceLimit;
import org.testng.annotations.Test;

/**
 * Guards against refusals inside the rate in large fleets: the pattern is a workspace of a few
 * operations a second whose callers come to any of hundreds of instances.
 */
public final class LimitOwnersTest {
    private static final LimitTolerance TOLERANCE = new LimitTolerance(5, 0.1, 20);
    private static final int DOMAINS = 5;
    private static final int STEPS_PER_SECOND = 100;
    private static final long STEP_NANOS = 10_000_000L;

    private static Map<String, String> fleet(int instances) {
        Map<String, String> domains = new HashMap<>();
        for (int index = 0; index < instances; index++) {
            domains.put("i" + index, "d" + index % DOMAINS);
        }
        return domains;
    }

    /** Simulates the limit of one workspace; instances that are gone answer nobody. */
    private static final class Simulation {
        private final Random mRandom = new Random(11);
        private final WorkspaceLimit mLimit;
        private final int mInstances;
        private final Map<String, ResizableTokenBucket> mBuckets = new HashMap<>();
        private final Map<String, LimitOwners> mOwnersByInstance = new HashMap<>();
        private final Set<String> mStoppedInstances = new HashSet<>();
        private final List<Integer> mServedPerStep = new ArrayList<>();
        private long mNowNanos;
        private int mOfferedOperations;
        private int mRefusedOperations;

        Simulation(int instances, double rate) {
            mInstances = instances;
            mLimit = new WorkspaceLimit(rate, rate);
            Map<String, String> domains = fleet(instances);
            for (Map.Entry<String, String> each : domains.entrySet()) {
                mOwnersByInstance.put(each.getKey(), new LimitOwners(each.getValue(), domains));
            }
        }

        void run(double perSecond, int seconds) {
            for (int step = 0; step < seconds * STEPS_PER_SECOND; step++) {
                mNowNanos += STEP_NANOS;
                int served = 0;
                double left = perSecond / STEPS_PER_SECOND;
                for (; left >= 1 || mRandom.nextDouble() < left; left--) {
                    mOfferedOperations++;
                    if (tryAcquire("i" + mRandom.nextInt(mInstances))) {
                        served++;
                    } else {
                        mRefusedOperations++;
                    }
                }
                mServedPerStep.add(served);
            }
        }

        private boolean tryAcquire(String instance) {
            for (String keeper : mOwnersByInstance.get(instance).owners("w")) {
                if (!mStoppedInstances.contains(keeper) && bucket(keeper).tryAcquire(mNowNanos)) {
                    return true;
                }
            }
            return false;
        }

        private ResizableTokenBucket bucket(String keeper) {
            WorkspaceLimit part = LimitOwners.ownerLimit(mLimit, DOMAINS);
            ResizableTokenBucket bucket =
                    mBuckets.computeIfAbsent(keeper, key -> new ResizableTokenBucket(mNowNanos));
            bucket.resize(
                    part.ratePerSecond(),
                    part.burst() + TOLERANCE.extraTokens(mLimit, DOMAINS),
                    mNowNanos);
            return bucket;
        }

        int maximumInWindow() {
            int window = 0;
            int most = 0;
            for (int index = 0; index < mServedPerStep.size(); index++) {
                window += mServedPerStep.get(index);
                int first = index - 5 * STEPS_PER_SECOND;
                window -= first >= 0 ? mServedPerStep.get(first) : 0;
                most = Math.max(most, window);
            }
            return most;
        }
    }

    @Test
    public void refusesAlmostNothingWithinSmallRatesAtAnyFleetSize() {
        for (int instances : new int[] {23, 95, 139, 520}) {
            for (double rate : new double[] {3, 5, 20}) {
                Simulation simulation = new Simulation(instances, rate);
                simulation.run(rate * 0.75, 60);
                double refused =
                        (double) simulation.mRefusedOperations / simulation.mOfferedOperations;
                assertTrue(refused < 0.01, instances + " at " + rate + ": refused " + refused);
            }
        }
    }

    @Test
    public void neverExceedsTheLimitInAWindow() {
        for (int instances : new int[] {23, 95, 520}) {
            double rate = 5;
            Simulation simulation = new Simulation(instances, rate);
            simulation.run(rate * 0.5, 10);
            simulation.run(rate * 7.5, 20);
            double allowed = (rate * 5 + rate) * 1.1 + 20;
            assertTrue(simulation.maximumInWindow() <= allowed, instances + " instances");
        }
    }

    @Test
    public void servesFromRemainingOwnersWhenOneIsGone() {
        Simulation simulation = new Simulation(95, 10);
        simulation.mStoppedInstances.add(simulation.mOwnersByInstance.get("i0").owners("w").get(0));
        simulation.run(6, 60);
        double refused = (double) simulation.mRefusedOperations / simulation.mOfferedOperations;
        assertTrue(refused < 0.02, "refused " + refused);
    }

    @Test
    public void ordersTheOwnerOfTheLocalFailureDomainFirst() {
        Map<String, String> domains = fleet(95);
        LimitOwners keepers = new LimitOwners("d3", domains);
        assertEquals(domains.get(keepers.owners("w").get(0)), "d3");
        assertEquals(keepers.owners("w").size(), DOMAINS);
        assertEquals(
                Set.copyOf(keepers.owners("w")),
                Set.copyOf(new LimitOwners("d1", domains).owners("w")));
    }

    @Test
    public void usesOwnersOnlyForSmallLimitsInLargeFleets() {
        LimitOwners small = new LimitOwners("d0", fleet(13));
        LimitOwners large = new LimitOwners("d0", fleet(95));
        assertFalse(small.isEnforcedByOwners(new WorkspaceLimit(99, 99)));
        assertTrue(large.isEnforcedByOwners(new WorkspaceLimit(99, 99)));
        assertFalse(large.isEnforcedByOwners(new WorkspaceLimit(500, 500)));
        assertFalse(
                new LimitOwners("d0", Map.of("i0", "d0"))
                        .isEnforcedByOwners(new WorkspaceLimit(1, 1)));
    }
}
