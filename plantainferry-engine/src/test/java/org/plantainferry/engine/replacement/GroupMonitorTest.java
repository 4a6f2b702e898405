package org.plantainferry.engine.replacement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.plantainferry.api.ServerId;
import org.testng.annotations.Test;

/** Guards against lost acknowledged writes, two primaries, and replacements late or needless. */
public class GroupMonitorTest {
    private static final long MILLI = GroupSimulation.MILLI;
    private static final long SECOND = 1_000 * MILLI;
    private static final long FIRST_SEED = 20_000;
    private static final int SEEDS = 1_000;

    @Test
    public void replacesALostPrimaryInTime() {
        List<Long> gaps = new ArrayList<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + 200; seed++) {
            GroupSimulation simulation = serving(seed);
            long term = simulation.instance(0).mGuardian.term();
            simulation.runFor(simulation.mRandom.nextLong(2 * SECOND));
            long lostAt = simulation.mNow;
            simulation.isolate(simulation.mPrimaries.get(term).value());
            simulation.runFor(5 * SECOND);
            assertTrue(simulation.mAnnounced.containsKey(term + 1), "seed " + seed);
            gaps.add((simulation.mAnnounced.get(term + 1) - lostAt) / MILLI);
        }
        Collections.sort(gaps);
        long median = gaps.get(gaps.size() / 2);
        long longest = gaps.get(gaps.size() - 1);
        System.out.println("failover gap: median " + median + " ms, longest " + longest + " ms");
        assertTrue(median <= 1_600 && longest <= 2_500, median + " / " + longest);
    }

    @Test
    public void keepsAcknowledgedWritesAndOnePrimaryForEachTermInRandomFaults() {
        long longest = 0;
        long acknowledged = 0;
        long terms = 0;
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            GroupSimulation simulation = serving(seed);
            for (int i = 0; i < 24; i++) {
                fault(simulation);
                simulation.runFor(simulation.mRandom.nextLong(1_500 * MILLI));
            }
            simulation.heal();
            for (GroupSimulation.Instance each : simulation.mInstances.values()) {
                each.mGuardian.onMonitors(simulation.mRanked, simulation.mNow);
            }
            int survivor = simulation.mRandom.nextInt(3);
            for (int i = 0; i < 3; i++) {
                if (i != survivor) {
                    simulation.isolate("i" + i);
                }
            }
            simulation.isolate("s" + simulation.mRandom.nextInt(3));
            long healed = simulation.mNow;
            assertTrue(
                    simulation.runUntilServing(simulation.instance(survivor), 5 * SECOND),
                    "no primary 5 s after faults; seed " + seed);
            longest = Math.max(longest, simulation.mNow - healed);
            acknowledged += simulation.mAcknowledged.size();
            terms += simulation.mPrimaries.size();
        }
        System.out.printf(
                "random faults: %d seeds, %d terms, %d writes acknowledged, longest gap %d ms%n",
                SEEDS, terms, acknowledged, longest / MILLI);
        assertTrue(terms > 2 * SEEDS && acknowledged > 10 * SEEDS);
    }

    @Test
    public void keepsAPrimaryThatIsOnlySlow() {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + 100; seed++) {
            GroupSimulation simulation = serving(seed);
            ServerId primary = simulation.mPrimaries.get(simulation.instance(0).mGuardian.term());
            long term = simulation.instance(0).mGuardian.term();
            for (int i = 0; i < 20; i++) {
                simulation.mExtraDelay.put(
                        primary.value(), simulation.mRandom.nextLong(600 * MILLI));
                simulation.runFor(simulation.mRandom.nextLong(SECOND));
            }
            assertEquals(simulation.instance(0).mGuardian.term(), term, "seed " + seed);
            assertTrue(simulation.mPrimaries.get(term + 1) == null, "seed " + seed);
        }
    }

    @Test
    public void replacesAPrimaryThatLostItsReplicasButAnswersGuardians() {
        GroupSimulation simulation = serving(FIRST_SEED);
        ServerId primary = simulation.mPrimaries.get(simulation.instance(0).mGuardian.term());
        for (ServerId each : simulation.mServerIds) {
            simulation.cut(primary.value(), each.value());
        }
        long term = simulation.instance(0).mGuardian.term();
        simulation.runFor(5 * SECOND);
        assertTrue(simulation.mAnnounced.containsKey(term + 1));
    }

    @Test
    public void replacesALeavingPrimaryByAServerThatStays() {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + 50; seed++) {
            GroupSimulation simulation = serving(seed);
            long term = simulation.instance(0).mGuardian.term();
            ServerId primary = simulation.mPrimaries.get(term);
            simulation.mServers.get(primary).mLeaving = true;
            simulation.runFor(5 * SECOND);
            assertEquals(simulation.instance(0).mGuardian.term(), term + 1, "seed " + seed);
            assertTrue(!simulation.mPrimaries.get(term + 1).equals(primary), "seed " + seed);
        }
    }

    @Test
    public void doesNotRaiseTermsWhileAllServersAreUnreachable() {
        GroupSimulation simulation = serving(FIRST_SEED);
        simulation.mServerIds.forEach(each -> simulation.isolate(each.value()));
        long term = simulation.instance(0).mGuardian.term();
        simulation.runFor(600 * SECOND);
        simulation.heal();
        assertTrue(simulation.runUntilServing(simulation.instance(0), 5 * SECOND));
        assertTrue(simulation.instance(0).mGuardian.term() <= term + 1);
    }

    @Test
    public void ignoresTermsThatGoBackAndPrimariesOfOtherGroups() {
        GroupSimulation simulation = serving(FIRST_SEED);
        GroupMonitor guardian = simulation.instance(0).mGuardian;
        Optional<ServerId> primary = guardian.primary();
        guardian.onTerm(guardian.term() - 1, Optional.of(new ServerId("s2")), simulation.mNow);
        guardian.onTerm(guardian.term(), Optional.of(new ServerId("other")), simulation.mNow);
        assertEquals(guardian.primary(), primary);
    }

    private static GroupSimulation serving(long seed) {
        GroupSimulation simulation = new GroupSimulation(seed, 3);
        assertTrue(
                simulation.runUntilServing(simulation.instance(0), 5 * SECOND),
                "no first primary; seed " + seed);
        simulation.runFor(3 * SECOND);
        return simulation;
    }

    private static void fault(GroupSimulation simulation) {
        List<String> nodes = List.of("s0", "s1", "s2", "i0", "i1", "i2");
        int index = simulation.mRandom.nextInt(2 * nodes.size());
        // Half of the faults meet the primary, so that terms change often.
        String node = index < nodes.size() ? nodes.get(index) : simulation.newestPrimary().value();
        switch (simulation.mRandom.nextInt(12)) {
            case 0 -> simulation.isolate(node);
            case 1 -> simulation.cut(node, nodes.get(simulation.mRandom.nextInt(nodes.size())));
            case 2 ->
                    simulation.mPausedUntil.put(
                            node, simulation.mNow + simulation.mRandom.nextLong(3 * SECOND));
            case 3 -> simulation.mLoss = simulation.mRandom.nextDouble() / 2;
            case 4 -> simulation.mMaxDelay = 1 + simulation.mRandom.nextLong(800 * MILLI);
            case 5 -> simulation.mExtraDelay.put(node, simulation.mRandom.nextLong(1_500 * MILLI));
            case 6 ->
                    simulation.mServers.get(
                                            simulation.mServerIds.get(
                                                    simulation.mRandom.nextInt(3)))
                                    .mLeaving =
                            simulation.mRandom.nextBoolean();
            case 7 -> simulation.instance(simulation.mRandom.nextInt(3)).restart();
            case 8 -> {
                // Instances may disagree on the guardians and on their ranks.
                int rank = simulation.mRandom.nextInt(3);
                simulation
                        .instance(simulation.mRandom.nextInt(3))
                        .mGuardian
                        .onMonitors(
                                List.of(
                                        simulation.mRanked.get(rank),
                                        simulation.mRanked.get((rank + 1) % 3)),
                                simulation.mNow);
            }
            default -> simulation.heal();
        }
    }
}
