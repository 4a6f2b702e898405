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
    private static final long MILLI = GroupSimulation.NANOS_PER_MILLI;
    private static final long SECOND = 1_000 * MILLI;
    private static final long FIRST_SEED = 20_000;
    private static final int SEEDS = 1_000;

    @Test
    public void replacesUnreachablePrimaryWithinTimeLimit() {
        List<Long> gaps = new ArrayList<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + 200; seed++) {
            GroupSimulation simulation = simulationWithPrimary(seed);
            long term = simulation.instance(0).mMonitor.term();
            simulation.runFor(simulation.mRandom.nextLong(2 * SECOND));
            long lostAt = simulation.mNowNanos;
            simulation.isolate(simulation.mPrimaryByTerm.get(term).value());
            simulation.runFor(5 * SECOND);
            assertTrue(simulation.mAnnouncedNanosByTerm.containsKey(term + 1), "seed " + seed);
            gaps.add((simulation.mAnnouncedNanosByTerm.get(term + 1) - lostAt) / MILLI);
        }
        Collections.sort(gaps);
        long median = gaps.get(gaps.size() / 2);
        long longest = gaps.get(gaps.size() - 1);
        System.out.println("failover gap: median " + median + " ms, longest " + longest + " ms");
        assertTrue(median <= 1_600 && longest <= 2_500, median + " / " + longest);
    }

    @Test
    public void keepsAcknowledgedWritesAndOnePrimaryPerTermUnderRandomFaults() {
        long longest = 0;
        long acknowledged = 0;
        long terms = 0;
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            GroupSimulation simulation = simulationWithPrimary(seed);
            for (int i = 0; i < 24; i++) {
                injectRandomFault(simulation);
                simulation.runFor(simulation.mRandom.nextLong(1_500 * MILLI));
            }
            simulation.heal();
            for (GroupSimulation.Instance each : simulation.mInstances.values()) {
                each.mMonitor.onMonitors(simulation.mRankedMonitors, simulation.mNowNanos);
            }
            int survivor = simulation.mRandom.nextInt(3);
            for (int i = 0; i < 3; i++) {
                if (i != survivor) {
                    simulation.isolate("i" + i);
                }
            }
            simulation.isolate("s" + simulation.mRandom.nextInt(3));
            long healed = simulation.mNowNanos;
            assertTrue(
                    simulation.runUntilServing(simulation.instance(survivor), 5 * SECOND),
                    "no primary 5 s after faults; seed " + seed);
            longest = Math.max(longest, simulation.mNowNanos - healed);
            acknowledged += simulation.mAcknowledgedWrites.size();
            terms += simulation.mPrimaryByTerm.size();
        }
        System.out.printf(
                "random faults: %d seeds, %d terms, %d writes acknowledged, longest gap %d ms%n",
                SEEDS, terms, acknowledged, longest / MILLI);
        assertTrue(terms > 2 * SEEDS && acknowledged > 10 * SEEDS);
    }

    @Test
    public void keepsSlowPrimary() {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + 100; seed++) {
            GroupSimulation simulation = simulationWithPrimary(seed);
            ServerId primary =
                    simulation.mPrimaryByTerm.get(simulation.instance(0).mMonitor.term());
            long term = simulation.instance(0).mMonitor.term();
            for (int i = 0; i < 20; i++) {
                simulation.mExtraDelayNanos.put(
                        primary.value(), simulation.mRandom.nextLong(600 * MILLI));
                simulation.runFor(simulation.mRandom.nextLong(SECOND));
            }
            assertEquals(simulation.instance(0).mMonitor.term(), term, "seed " + seed);
            assertTrue(simulation.mPrimaryByTerm.get(term + 1) == null, "seed " + seed);
        }
    }

    @Test
    public void replacesPrimaryThatLostItsReplicasButAnswersMonitors() {
        GroupSimulation simulation = simulationWithPrimary(FIRST_SEED);
        ServerId primary = simulation.mPrimaryByTerm.get(simulation.instance(0).mMonitor.term());
        for (ServerId each : simulation.mServerIds) {
            simulation.cut(primary.value(), each.value());
        }
        long term = simulation.instance(0).mMonitor.term();
        simulation.runFor(5 * SECOND);
        assertTrue(simulation.mAnnouncedNanosByTerm.containsKey(term + 1));
    }

    @Test
    public void replacesLeavingPrimaryWithRemainingServer() {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + 50; seed++) {
            GroupSimulation simulation = simulationWithPrimary(seed);
            long term = simulation.instance(0).mMonitor.term();
            ServerId primary = simulation.mPrimaryByTerm.get(term);
            simulation.mServers.get(primary).mLeaving = true;
            simulation.runFor(5 * SECOND);
            assertEquals(simulation.instance(0).mMonitor.term(), term + 1, "seed " + seed);
            assertTrue(!simulation.mPrimaryByTerm.get(term + 1).equals(primary), "seed " + seed);
        }
    }

    @Test
    public void doesNotIncreaseTermWhileAllServersAreUnreachable() {
        GroupSimulation simulation = simulationWithPrimary(FIRST_SEED);
        simulation.mServerIds.forEach(each -> simulation.isolate(each.value()));
        long term = simulation.instance(0).mMonitor.term();
        simulation.runFor(600 * SECOND);
        simulation.heal();
        assertTrue(simulation.runUntilServing(simulation.instance(0), 5 * SECOND));
        assertTrue(simulation.instance(0).mMonitor.term() <= term + 1);
    }

    @Test
    public void ignoresEarlierTermsAndServersOutsideGroup() {
        GroupSimulation simulation = simulationWithPrimary(FIRST_SEED);
        GroupMonitor guardian = simulation.instance(0).mMonitor;
        Optional<ServerId> primary = guardian.primary();
        guardian.onTerm(guardian.term() - 1, Optional.of(new ServerId("s2")), simulation.mNowNanos);
        guardian.onTerm(guardian.term(), Optional.of(new ServerId("other")), simulation.mNowNanos);
        assertEquals(guardian.primary(), primary);
    }

    private static GroupSimulation simulationWithPrimary(long seed) {
        GroupSimulation simulation = new GroupSimulation(seed, 3);
        assertTrue(
                simulation.runUntilServing(simulation.instance(0), 5 * SECOND),
                "no first primary; seed " + seed);
        simulation.runFor(3 * SECOND);
        return simulation;
    }

    private static void injectRandomFault(GroupSimulation simulation) {
        List<String> nodes = List.of("s0", "s1", "s2", "i0", "i1", "i2");
        int index = simulation.mRandom.nextInt(2 * nodes.size());
        // Half of the faults meet the primary, so that terms change often.
        String node = index < nodes.size() ? nodes.get(index) : simulation.newestPrimary().value();
        switch (simulation.mRandom.nextInt(12)) {
            case 0 -> simulation.isolate(node);
            case 1 -> simulation.cut(node, nodes.get(simulation.mRandom.nextInt(nodes.size())));
            case 2 ->
                    simulation.mPausedUntilNanos.put(
                            node, simulation.mNowNanos + simulation.mRandom.nextLong(3 * SECOND));
            case 3 -> simulation.mLossProbability = simulation.mRandom.nextDouble() / 2;
            case 4 -> simulation.mMaxDelayNanos = 1 + simulation.mRandom.nextLong(800 * MILLI);
            case 5 ->
                    simulation.mExtraDelayNanos.put(
                            node, simulation.mRandom.nextLong(1_500 * MILLI));
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
                        .mMonitor
                        .onMonitors(
                                List.of(
                                        simulation.mRankedMonitors.get(rank),
                                        simulation.mRankedMonitors.get((rank + 1) % 3)),
                                simulation.mNowNanos);
            }
            default -> simulation.heal();
        }
    }
}
