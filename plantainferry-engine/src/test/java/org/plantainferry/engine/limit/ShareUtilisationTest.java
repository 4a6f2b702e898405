package org.plantainferry.engine.limit;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.plantainferry.api.configuration.Configuration;
import org.plantainferry.engine.limit.ShareSimulation.Node;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against refusals of requests that were inside their workspace's rate and burst. */
public class ShareUtilisationTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long END = 61 * SECOND;

    private record Fleet(ShareSimulation simulation, List<Node> nodes) {}

    @DataProvider
    public Object[][] loads() {
        List<Object[]> rows = new ArrayList<>();
        for (double[] limit : new double[][] {{100, 20}, {100, 100}, {1_000, 200}, {20, 5}}) {
            for (double load : new double[] {0.5, 0.8, 0.95}) {
                rows.add(new Object[] {limit[0], limit[1], load});
            }
        }
        return rows.toArray(new Object[0][]);
    }

    @Test(dataProvider = "loads")
    public void servesTrafficWithinTheRateOnOneInstance(double rate, double burst, double load) {
        double steady = wrongfulRefusalRate(rate, burst, load, END, 15);
        double spread = wrongfulRefusalRate(rate, burst, load, 0, 15);
        System.out.printf(
                "rate %.0f burst %.0f load %.0f%%: wrongful %.3f%% on one, %.3f%% spread over 15%n",
                rate, burst, 100 * load, 100 * steady, 100 * spread);
        assertTrue(steady < 0.001, "refused " + steady);
    }

    @Test(dataProvider = "loads")
    public void servesTrafficWithinTheRateThatMovesBetweenInstances(
            double rate, double burst, double load) {
        double moving = wrongfulRefusalRate(rate, burst, load, 2 * SECOND, 15);
        System.out.printf(
                "rate %.0f burst %.0f load %.0f%%: wrongful %.3f%% moving every 2 s%n",
                rate, burst, 100 * load, 100 * moving);
        assertTrue(moving < 0.001, "refused " + moving);
    }

    @Test
    public void keepsTheShareOfAPartitionedFailureDomain() {
        Fleet fleet = fleet(1, 100, 20, 15, 1);
        ShareSimulation simulation = fleet.simulation();
        simulation.mPartitioned = true;
        simulation.schedule(
                5 * SECOND,
                () ->
                        fleet.nodes()
                                .forEach(
                                        node ->
                                                node.mKnownNodes.removeIf(
                                                        other -> other.mDomain != node.mDomain)));
        offerOverload(fleet, 0, 300);
        simulation.run(60 * SECOND);
        long granted =
                simulation.mGrantTimes.get(ShareSimulation.workspace(0)).stream()
                        .filter(time -> time > 10 * SECOND)
                        .count();
        System.out.printf("cut-off domain with 5 of 15 slots: %.1f/s of 100%n", granted / 50.0);
        assertTrue(granted / 50.0 > 0.95 * 100 / 3, "granted " + granted);
    }

    @Test
    public void limitsControlTraffic() {
        for (int workspaces : new int[] {16, 100, 500}) {
            Fleet fleet = fleet(1, 100, 20, 15, workspaces);
            ShareSimulation simulation = fleet.simulation();
            for (int w = 0; w < workspaces; w += 4) {
                offerConformingTraffic(fleet, w, 100, 20, 0.5, 2 * SECOND);
            }
            simulation.run(21 * SECOND);
            double share = 15 * 21.0;
            System.out.printf(
                    "%d workspaces, a quarter busy and moving: %.1f messages/s, %.1f KB/s each%n",
                    workspaces, simulation.mMessages / share, simulation.mBytes / share / 1_000);
            assertTrue(simulation.mBytes / share < 12_000);
        }
    }

    private static double wrongfulRefusalRate(
            double rate, double burst, double load, long stay, int nodes) {
        Fleet fleet = fleet(7, rate, burst, nodes, 1);
        offerConformingTraffic(fleet, 0, rate, burst, load, stay);
        fleet.simulation().run(END + SECOND);
        double excess = fleet.simulation().excess(ShareSimulation.workspace(0), rate, burst, 0);
        assertTrue(excess <= 1e-3, "excess " + excess);
        return fleet.simulation().mRefusedRequests / (double) fleet.simulation().mOfferedRequests;
    }

    private static Fleet fleet(long seed, double rate, double burst, int nodes, int workspaces) {
        ShareSimulation simulation = new ShareSimulation(seed);
        Configuration configuration =
                ShareSimulation.configuration(
                        1, workspaces, rate, burst, nodes / 3, nodes / 3, nodes / 3);
        List<Node> list = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            list.add(simulation.add("instance-" + i, i % 3, 1, configuration));
        }
        return new Fleet(simulation, list);
    }

    /** Offers random traffic from which an ideal bucket has removed all that it would refuse. */
    private static void offerConformingTraffic(
            Fleet fleet, int workspace, double rate, double burst, double load, long stay) {
        LeakyBucketMeter ideal = new LeakyBucketMeter(rate, burst);
        fleet.simulation()
                .schedule(SECOND, () -> offerRequest(fleet, workspace, ideal, load * rate, stay));
    }

    private static void offerRequest(
            Fleet fleet, int workspace, LeakyBucketMeter ideal, double perSecond, long stay) {
        ShareSimulation simulation = fleet.simulation();
        if (simulation.mNowNanos >= END) {
            return;
        }
        int index =
                stay == 0
                        ? simulation.mRandom.nextInt(fleet.nodes().size())
                        : (int)
                                ((simulation.mNowNanos / stay * 7 + workspace)
                                        % fleet.nodes().size());
        if (ideal.tryGrant(simulation.mNowNanos)) {
            fleet.nodes().get(index).arrive(ShareSimulation.workspace(workspace));
        }
        double wait = -Math.log(1 - simulation.mRandom.nextDouble()) / perSecond;
        simulation.schedule(
                simulation.mNowNanos + (long) (wait * SECOND),
                () -> offerRequest(fleet, workspace, ideal, perSecond, stay));
    }

    private static void offerOverload(Fleet fleet, int index, double perSecond) {
        fleet.nodes().get(index).arrive(ShareSimulation.workspace(0));
        fleet.simulation()
                .schedule(
                        fleet.simulation().mNowNanos + (long) (SECOND / perSecond),
                        () -> offerOverload(fleet, index, perSecond));
    }
}
