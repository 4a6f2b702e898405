package org.plantainferry.engine.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.simple.RandomSource;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.InstanceId;
import org.testng.annotations.Test;

/** Guards against dead instances that stay in the view, and live ones that fall out of it. */
public class MembershipTableTest {
    private static final long SECOND = 1_000 * FleetSimulation.MILLI;

    @Test
    public void suspectsStoppedAndPartitionedInstancesAndRestoresThem() {
        for (long seed = 40_000; seed < 40_020; seed++) {
            FleetSimulation fleet = new FleetSimulation(seed, 3, 4);
            fleet.runFor(30 * SECOND);
            fleet.assertLiveCount(12, "seed " + seed);
            fleet.mStopped.add("i0");
            fleet.runFor(7 * SECOND);
            fleet.assertLiveCount(11, "seed " + seed);
            fleet.partition("d1");
            fleet.runFor(8 * SECOND);
            for (FleetSimulation.Instance each : fleet.mInstances) {
                boolean isCut = each.mMember.failureDomain().value().equals("d1");
                if (!fleet.mStopped.contains(each.name())) {
                    int expected = isCut ? 4 : 7;
                    assertEquals(each.mTable.snapshot().members().size(), expected, "seed " + seed);
                }
            }
            fleet.mPartitioned.clear();
            fleet.runFor(8 * SECOND);
            fleet.assertLiveCount(11, "seed " + seed);
        }
    }

    @Test
    public void hasNoFalseSuspicionsInALargeFleet() {
        FleetSimulation fleet = new FleetSimulation(40_100, 4, 40);
        fleet.runFor(40 * SECOND);
        fleet.assertLiveCount(160, "steady");
        partitionBriefly(fleet);
        fleet.mStopped.add("i0");
        fleet.runFor(12 * SECOND);
        fleet.assertLiveCount(159, "one dead");
    }

    /** A cut shorter than the suspicion time once left evidence against every other domain. */
    private static void partitionBriefly(FleetSimulation fleet) {
        for (int i = 0; i < 4; i++) {
            fleet.partition("d" + i);
        }
        fleet.runFor(4 * SECOND);
        fleet.mPartitioned.clear();
        fleet.runFor(2 * SECOND);
        for (int i = 2; i <= 12; i++) {
            fleet.assertLiveCount(160, i + " s after a short cut");
            fleet.runFor(SECOND);
        }
    }

    @Test
    public void ignoresAnEarlierIncarnationAndClearsTheLeavingMarkAfterARestart() {
        long now = SECOND;
        MembershipTable table =
                new MembershipTable(
                        member("a"), 1, RandomSource.XO_RO_SHI_RO_128_PP.create(1), now);
        table.onPlatformList(List.of(member("a"), member("b")), now);
        table.onHeartbeat(heartbeat(1, true), now);
        assertTrue(table.snapshot().member(new InstanceId("b")).orElseThrow().leaving());
        table.onHeartbeat(heartbeat(2, false), now + 1);
        assertFalse(table.snapshot().member(new InstanceId("b")).orElseThrow().leaving());
        table.onHeartbeat(heartbeat(1, true), now + 2);
        assertFalse(table.snapshot().member(new InstanceId("b")).orElseThrow().leaving());
        table.onPlatformList(List.of(member("a")), now + SECOND);
        assertEquals(table.snapshot().members().size(), 2, "the list lags behind the heartbeats");
        table.onPlatformList(List.of(member("a")), now + 6 * SECOND);
        assertEquals(table.snapshot().members().size(), 1);
    }

    private static Member member(String id) {
        return new Member(new InstanceId(id), new FailureDomain("d"), "p", "c", "o", false);
    }

    private static HeartbeatContent heartbeat(long incarnation, boolean leaving) {
        LocalStatus status = new LocalStatus(0, Optional.empty(), false, List.of(), List.of());
        return new HeartbeatContent(
                new InstanceId("b"),
                incarnation,
                new FailureDomain("d"),
                leaving,
                status,
                List.of(),
                false);
    }
}
