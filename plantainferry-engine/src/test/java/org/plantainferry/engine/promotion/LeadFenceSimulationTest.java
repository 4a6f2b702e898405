package org.plantainferry.engine.promotion;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.plantainferry.engine.promotion.FenceRound.Decision;
import org.testng.annotations.Test;

/**
 * Guards against two primaries in use at once: the pattern is a failure domain that is cut off
 * together with its primary while its instances go on serving callers.
 *
 * <p>Simulated instances ask each other every 200 ms and lose a part of the messages; one of them
 * replaces the primary. No instance may hold its lease without knowing of the replacement when the
 * order goes out.
 */
public final class LeadFenceSimulationTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long STEP_MILLIS = 20;
    private static final int ASK_STEPS = 10;
    private static final int RUNS = 300;

    /** Simulates the instances of three failure domains. */
    private static final class Fleet {
        private final Random mRandom;
        private final List<String> mNames = new ArrayList<>();
        private final Map<String, String> mDomains = new HashMap<>();
        private final Map<String, LeadLease> mLeases = new HashMap<>();
        private final Set<String> mFenced = new HashSet<>();
        private final Set<String> mCutDomains = new HashSet<>();
        private final Set<String> mSilent = new HashSet<>();
        private final double mLoss;
        private long mNow = 1_000 * MILLI;

        Fleet(long seed) {
            mRandom = new Random(seed);
            mLoss = mRandom.nextInt(3) * 0.15;
            int size = 6 + mRandom.nextInt(30);
            for (int index = 0; index < size; index++) {
                String name = "i" + index;
                mNames.add(name);
                mDomains.put(name, "d" + index % 3);
                LeadLease lease = new LeadLease("d" + index % 3);
                lease.onDomains(Set.of("d0", "d1", "d2"));
                mLeases.put(name, lease);
            }
        }

        private boolean reaches(String from, String to) {
            boolean isCut =
                    !mDomains.get(from).equals(mDomains.get(to))
                            && (mCutDomains.contains(mDomains.get(from))
                                    || mCutDomains.contains(mDomains.get(to)));
            boolean isSilent = mSilent.contains(from) || mSilent.contains(to);
            return !isCut && !isSilent && mRandom.nextDouble() >= mLoss;
        }

        void step(int number) {
            mNow += STEP_MILLIS * MILLI;
            for (int index = 0; index < mNames.size(); index++) {
                if ((number + index) % ASK_STEPS == 0) {
                    ask(mNames.get(index));
                }
            }
        }

        private void ask(String asker) {
            for (int domain = 0; domain < 3; domain++) {
                String asked = mNames.get(domain + 3 * mRandom.nextInt(mNames.size() / 3));
                if (asked.equals(asker) || !reaches(asker, asked) || !reaches(asked, asker)) {
                    continue;
                }
                if (mFenced.contains(asked)) {
                    mFenced.add(asker);
                }
                LeadLease lease = mLeases.get(asker);
                lease.onContact(mDomains.get(asked), mNow);
                Map.copyOf(mLeases.get(asked).contacts()).forEach(lease::onContact);
            }
        }

        boolean uses(String instance) {
            return !mFenced.contains(instance)
                    && mLeases.get(instance).heldUntilNanos(mNow) - mNow > 0;
        }

        Decision replace(String replacing, int firstStep) {
            Map<String, String> others = new HashMap<>(mDomains);
            others.remove(replacing);
            FenceRound round = new FenceRound(others, mDomains.get(replacing), mNow);
            mFenced.add(replacing);
            for (int number = firstStep; ; number++) {
                if (number % 5 == 0) {
                    tell(replacing, round);
                }
                Decision decision = round.decide(mNow);
                if (decision != Decision.WAIT) {
                    return decision;
                }
                step(number);
            }
        }

        private void tell(String replacing, FenceRound round) {
            for (String missing : round.missing()) {
                if (reaches(replacing, missing)) {
                    mFenced.add(missing);
                    if (reaches(missing, replacing)) {
                        round.onConfirmed(missing, mNow);
                    }
                }
            }
        }
    }

    @Test
    public void ordersNothingWhileAnInstanceOfACutOffDomainMayUseTheFormerPrimary() {
        int ordered = 0;
        for (long seed = 1; seed <= RUNS; seed++) {
            Fleet fleet = new Fleet(seed);
            int number = 0;
            for (; number < 60; number++) {
                fleet.step(number);
            }
            fleet.mCutDomains.add("d" + fleet.mRandom.nextInt(3));
            fleet.mSilent.add(fleet.mNames.get(fleet.mRandom.nextInt(fleet.mNames.size())));
            int delay = fleet.mRandom.nextInt(60);
            for (int end = number + delay; number < end; number++) {
                fleet.step(number);
            }
            String replacing = fleet.mNames.get(fleet.mRandom.nextInt(fleet.mNames.size()));
            if (fleet.replace(replacing, number) != Decision.ORDER) {
                continue;
            }
            ordered++;
            for (String instance : fleet.mNames) {
                assertTrue(!fleet.uses(instance), "seed " + seed + ": " + instance);
            }
        }
        assertTrue(ordered > RUNS / 3, "only " + ordered + " runs replaced the primary");
    }

    @Test
    public void ordersAtOnceWhenAllInstancesHaveConfirmed() {
        FenceRound round = new FenceRound(Map.of("i1", "a", "i2", "b"), "a", 0);
        round.onConfirmed("i1", MILLI);
        assertEquals(round.decide(2 * MILLI), Decision.WAIT);
        round.onConfirmed("i2", 2 * MILLI);
        assertEquals(round.decide(2 * MILLI), Decision.ORDER);
    }

    @Test
    public void givesUpWithoutAMajorityOfTheFailureDomains() {
        FenceRound round = new FenceRound(Map.of("i1", "a", "i2", "b", "i3", "c"), "a", 0);
        round.onConfirmed("i1", MILLI);
        assertEquals(round.decide(1_500 * MILLI), Decision.WAIT);
        assertEquals(round.decide(2_500 * MILLI), Decision.GIVE_UP);
    }

    @Test
    public void holdsNoLeaseBeforeTheInstancesAreKnown() {
        LeadLease lease = new LeadLease("a");
        lease.onContact("b", 5);
        assertEquals(lease.heldUntilNanos(10), 10);
    }

    @Test
    public void losesTheLeaseOneSecondAfterTheLastContactWithAMajority() {
        LeadLease lease = new LeadLease("a");
        lease.onDomains(Set.of("a", "b", "c"));
        lease.onContact("b", 100 * MILLI);
        assertEquals(lease.heldUntilNanos(200 * MILLI), 1_100 * MILLI);
        lease.onContact("b", 50 * MILLI);
        assertEquals(lease.heldUntilNanos(200 * MILLI), 1_100 * MILLI);
    }

    @Test
    public void needsMoreThanHalfOfFourFailureDomains() {
        LeadLease lease = new LeadLease("a");
        lease.onDomains(Set.of("a", "b", "c", "d"));
        lease.onContact("b", 100 * MILLI);
        assertEquals(lease.heldUntilNanos(200 * MILLI), 200 * MILLI);
        lease.onContact("c", 50 * MILLI);
        assertEquals(lease.heldUntilNanos(200 * MILLI), 1_050 * MILLI);
    }
}
