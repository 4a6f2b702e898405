package org.plantainferry.engine.quota;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.plantainferry.engine.catalog.WorkspaceLimit;
import org.testng.annotations.Test;

/** Guards against shares that exceed the limit in total, or that leave an instance without one. */
public final class DemandSharesTest {
    private static final double TOLERANCE = 1e-9;
    private static final long SECOND = 1_000_000_000L;

    private static Set<String> others(int count, int self) {
        Set<String> others = new HashSet<>();
        for (int index = 0; index < count; index++) {
            if (index != self) {
                others.add("i" + index);
            }
        }
        return others;
    }

    private static double sumOfShares(double[] demand, double rate) {
        double sum = 0;
        for (int self = 0; self < demand.length; self++) {
            DemandShares shares = new DemandShares(0);
            for (int other = 0; other < demand.length; other++) {
                if (other != self) {
                    shares.report("i" + other, Map.of("w", demand[other]), 0);
                }
            }
            sum += shares.share("w", others(demand.length, self), demand[self], rate, SECOND);
        }
        return sum;
    }

    @Test
    public void addsUpToOneWhereAllReportsHaveArrived() {
        assertEquals(sumOfShares(new double[] {1, 2, 3, 40, 0}, 20), 1, TOLERANCE);
    }

    @Test
    public void givesAnInstanceWithMostOfTheDemandMostOfTheLimit() {
        DemandShares shares = new DemandShares(0);
        shares.report("i1", Map.of("w", 1.0), 0);
        shares.report("i2", Map.of("w", 1.0), 0);
        assertTrue(shares.share("w", others(3, 0), 98, 100, SECOND) > 0.8);
    }

    /** Guards against the excess of 87 operations in 5 s that a soak found after a restart. */
    @Test
    public void takesNoMoreThanAnEvenShareBeforeTheReportsOfBusyInstancesHaveArrived() {
        DemandShares restarted = new DemandShares(0);
        assertTrue(restarted.share("w", others(4, 0), 20, 8, SECOND) <= 0.25);
    }

    @Test
    public void countsAnInstanceThatNeverReportsAsAnEvenShareOnceAllOthersHaveReported() {
        DemandShares shares = new DemandShares(0);
        double share = shares.share("w", others(2, 0), 20, 8, DemandShares.FIRST_REPORTS_NANOS);
        assertTrue(share > 0.75);
    }

    @Test
    public void reservesAShareForAnIdleInstance() {
        DemandShares shares = new DemandShares(0);
        shares.report("i1", Map.of("w", 100.0), 0);
        assertTrue(shares.share("w", others(2, 0), 0, 100, SECOND) > 0.03);
    }

    @Test
    public void countsAReportWithoutTheWorkspaceAsNoDemand() {
        DemandShares shares = new DemandShares(0);
        for (int index = 1; index < 15; index++) {
            shares.report("i" + index, Map.of("another", 3.0), 0);
        }
        assertTrue(shares.share("w", others(15, 0), 5, 40, SECOND) > 0.15);
    }

    @Test
    public void countsASilentInstanceUntilItsReportExpires() {
        DemandShares shares = new DemandShares(0);
        shares.report("i1", Map.of("w", 50.0), 0);
        double shareBeforeExpiry = shares.share("w", Set.of(), 50, 100, SECOND);
        double shareAfterExpiry =
                shares.share("w", Set.of(), 50, 100, DemandShares.REPORT_LIFETIME_NANOS + 1);
        assertTrue(shareBeforeExpiry < 0.6);
        assertEquals(shareAfterExpiry, 1, TOLERANCE);
    }

    @Test
    public void neverExceedsTheLimitInAWindowWhenOneWorkspaceSendsSevenTimesItsRate() {
        // Simulates steady demand below the limit, then seven times as much on all instances.
        double rate = 95;
        double burst = 95;
        int instances = 15;
        LimitTolerance tolerance = new LimitTolerance(5, 0.1, 20);
        Simulation simulation = new Simulation(instances, rate, burst, tolerance);
        simulation.run(60, 4);
        simulation.run(420, 8);
        double allowed = (rate * 5 + burst) * 1.1 + 20;
        assertTrue(
                simulation.maximumInWindow(5) <= allowed,
                simulation.maximumInWindow(5) + " of " + allowed);
    }

    @Test
    public void refusesFewOperationsOfASmallWorkspaceWithinItsRate() {
        // Simulates a small workspace whose callers are spread over all instances.
        Simulation simulation = new Simulation(15, 10, 10, new LimitTolerance(5, 0.1, 20));
        simulation.run(6, 30);
        assertTrue(simulation.refusedFraction() < 0.08, "refused " + simulation.refusedFraction());
    }

    @Test
    public void sendsFewReportsWhileDemandIsSteady() {
        Simulation simulation = new Simulation(15, 95, 95, new LimitTolerance(5, 0.1, 20));
        simulation.run(60, 30);
        double perSecond = simulation.mReportCount / 30.0 / 15;
        assertTrue(perSecond < 0.6, "reports a second and instance: " + perSecond);
        assertTrue(simulation.refusedFraction() < 0.02, "refused " + simulation.refusedFraction());
    }

    /** Simulates instances that consider a demand report every 250 ms. */
    private static final class Simulation {
        private static final int STEPS_PER_SECOND = 100;
        private static final int REPORT_STEPS = 25;
        private static final int MAXIMUM_PEERS_ASKED = 3;

        private final Random mRandom = new Random(7);
        private final int mInstances;
        private final double mRate;
        private final double mBurst;
        private final LimitTolerance mTolerance;
        private final List<DemandShares> mShares = new ArrayList<>();
        private final List<DemandRate> mDemand = new ArrayList<>();
        private final List<DemandReportPolicy> mPolicies = new ArrayList<>();
        private final List<ResizableTokenBucket> mBuckets = new ArrayList<>();
        private final List<Long> mServedNanos = new ArrayList<>();
        private long mStep;
        private long mOfferedOperations;
        private int mReportCount;
        private final double[] mReportedDemand;

        Simulation(int instances, double rate, double burst, LimitTolerance tolerance) {
            mInstances = instances;
            mReportedDemand = new double[instances];
            mRate = rate;
            mBurst = burst;
            mTolerance = tolerance;
            for (int index = 0; index < instances; index++) {
                mShares.add(new DemandShares(0));
                mDemand.add(new DemandRate(0));
                mPolicies.add(new DemandReportPolicy(0));
                mBuckets.add(new ResizableTokenBucket(0));
            }
        }

        void run(double operationsPerSecond, int seconds) {
            double perStep = operationsPerSecond / STEPS_PER_SECOND;
            for (int step = 0; step < seconds * STEPS_PER_SECOND; step++) {
                mStep++;
                if (mStep % REPORT_STEPS == 0) {
                    sendReports();
                }
                for (double remaining = perStep; remaining > 0; remaining--) {
                    if (mRandom.nextDouble() < remaining) {
                        offer(mRandom.nextInt(mInstances));
                    }
                }
            }
        }

        private long now() {
            return mStep * (SECOND / STEPS_PER_SECOND);
        }

        private void sendReports() {
            for (int sender = 0; sender < mInstances; sender++) {
                double demand = mDemand.get(sender).perSecond(now());
                if (!mPolicies.get(sender).recordIfDue(Map.of("w", demand), now())) {
                    continue;
                }
                mReportCount++;
                mReportedDemand[sender] = demand;
                for (int receiver = 0; receiver < mInstances; receiver++) {
                    if (receiver != sender) {
                        mShares.get(receiver).report("i" + sender, Map.of("w", demand), now());
                    }
                }
            }
        }

        private void offer(int instance) {
            mOfferedOperations++;
            mDemand.get(instance).count(now());
            boolean served = tryAcquire(instance);
            for (int asked = 0; asked < MAXIMUM_PEERS_ASKED && !served; asked++) {
                served = tryAcquire(mRandom.nextInt(mInstances));
            }
            if (served) {
                mServedNanos.add(now());
            }
        }

        private boolean tryAcquire(int instance) {
            double share =
                    mShares.get(instance)
                            .share(
                                    "w",
                                    others(mInstances, instance),
                                    mReportedDemand[instance],
                                    mRate,
                                    now());
            WorkspaceLimit limit = new WorkspaceLimit(mRate, mBurst);
            mBuckets.get(instance)
                    .resize(
                            mRate * share,
                            mBurst * share + mTolerance.extraTokens(limit, mInstances),
                            now());
            return mBuckets.get(instance).tryAcquire(now());
        }

        int maximumInWindow(int seconds) {
            int maximum = 0;
            int first = 0;
            for (int last = 0; last < mServedNanos.size(); last++) {
                while (mServedNanos.get(last) - mServedNanos.get(first) > seconds * SECOND) {
                    first++;
                }
                maximum = Math.max(maximum, last - first + 1);
            }
            return maximum;
        }

        double refusedFraction() {
            return 1 - (double) mServedNanos.size() / mOfferedOperations;
        }
    }
}
