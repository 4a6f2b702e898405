package org.plantainferry.engine.membership;

import java.util.List;
import org.plantainferry.api.FailureDomain;
import org.testng.annotations.Test;

/** Guards against suspicions that spread wrongly, or too slowly, in a fleet of the full size. */
public class MembershipLargeFleetTest {
    private static final long SECOND = 1_000 * FleetSimulation.MILLI;
    private static final int DOMAINS = 4;
    private static final int PER_DOMAIN = 130;
    private static final int SIZE = DOMAINS * PER_DOMAIN;

    /** Stale suspicions from the time of a partition once kept returning after its end. */
    @Test
    public void restoresAllSnapshotsSoonAfterAPartitionBetweenDomains() {
        FleetSimulation fleet = new FleetSimulation(41_000, DOMAINS, PER_DOMAIN);
        fleet.runFor(3 * SECOND);
        fleet.mStopped.addAll(List.of("i0", "i1", "i2", "i3"));
        fleet.runFor(10 * SECOND);
        fleet.assertLiveCount(SIZE - 4, "dead");
        for (int i = 0; i < DOMAINS; i++) {
            fleet.partition("d" + i);
        }
        fleet.runFor(SECOND);
        fleet.mStopped.add("i4");
        fleet.runFor(11 * SECOND);
        fleet.mPartitioned.clear();
        fleet.runFor(10 * SECOND);
        for (int i = 10; i <= 40; i++) {
            fleet.assertLiveCount(SIZE - 5, i + " s after the heal");
            fleet.runFor(SECOND);
        }
    }

    /** A loss of a quarter of the fleet needs more suspicions than heartbeats can carry in time. */
    @Test
    public void suspectsAStoppedDomainAndRestoresItAfterARestart() {
        FleetSimulation fleet = new FleetSimulation(41_001, DOMAINS, PER_DOMAIN);
        fleet.runFor(3 * SECOND);
        FailureDomain lost = new FailureDomain("d2");
        fleet.stop(lost);
        fleet.runFor(10 * SECOND);
        fleet.assertLiveCount(SIZE - PER_DOMAIN, "lost");
        fleet.runFor(5 * SECOND);
        fleet.restart(lost);
        fleet.runFor(10 * SECOND);
        fleet.assertLiveCount(SIZE, "back");
        fleet.mStopped.add("i0");
        fleet.runFor(10 * SECOND);
        fleet.assertLiveCount(SIZE - 1, "one dead after the return");
    }
}
