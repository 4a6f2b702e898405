package org.plantainferry.engine.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.plantainferry.engine.catalog.CatalogServer;
import org.testng.annotations.Test;

/** Guards against connections above the cap of a server, which it resets. */
public final class ConnectionPlanTest {
    private static final List<CatalogServer> SERVERS =
            List.of(server("p", "a"), server("r1", "b"), server("r2", "c"));

    private static CatalogServer server(String id, String domain) {
        return new CatalogServer(id, "s", "10.0.0.1:1", domain, id.equals("p"), false, 3, 0);
    }

    private static Map<String, String> domains() {
        Map<String, String> domains = new HashMap<>();
        for (int index = 0; index < 15; index++) {
            domains.put("i" + index, index < 7 ? "a" : index < 11 ? "b" : "c");
        }
        return domains;
    }

    @Test
    public void prefersTheReplicaOfTheOwnFailureDomain() {
        ConnectionPlan plan = new ConnectionPlan("i8", domains());
        assertEquals(
                plan.plan(SERVERS, Optional.of("p"), 47).preferredReplica(), Optional.of("r1"));
    }

    @Test
    public void keepsAllInstancesBelowTheConnectionLimitOfEachServer() {
        Map<String, Integer> sum = new HashMap<>();
        for (String instance : domains().keySet()) {
            new ConnectionPlan(instance, domains())
                    .plan(SERVERS, Optional.of("p"), 47)
                    .limits()
                    .forEach((server, limit) -> sum.merge(server, limit, Integer::sum));
        }
        sum.forEach((server, limit) -> assertTrue(limit <= 55, server + " " + limit));
        assertTrue(sum.get("p") <= 47);
    }

    @Test
    public void keepsIdleConnectionsLongWhenThereAreEnoughForAll() {
        long idle =
                new ConnectionPlan("i3", domains())
                        .plan(SERVERS, Optional.of("p"), 47)
                        .idleNanos()
                        .get("p");
        assertEquals(idle, 20_000_000_000L);
    }

    @Test
    public void releasesIdleConnectionsEarlyWhenInstancesOutnumberConnections() {
        // The pattern: each of n instances uses a server once in n / 30 seconds for 50 ms.
        for (int instances : new int[] {95, 139, 300, 520}) {
            Map<String, String> many = new HashMap<>();
            for (int index = 0; index < instances; index++) {
                many.put("i" + index, "abcde".substring(index % 5, index % 5 + 1));
            }
            long idle =
                    new ConnectionPlan("i3", many)
                            .plan(SERVERS, Optional.of("p"), 66)
                            .idleNanos()
                            .get("p");
            double open = 30 * (idle / 1e9 + 0.05);
            assertTrue(open < 66, instances + " instances hold " + open);
        }
    }

    @Test
    public void givesEachInstanceAtLeastOneConnection() {
        Map<String, String> many = new HashMap<>();
        for (int index = 0; index < 139; index++) {
            many.put("i" + index, "a");
        }
        new ConnectionPlan("i3", many)
                .plan(SERVERS, Optional.of("p"), 97)
                .limits()
                .values()
                .forEach(limit -> assertEquals((int) limit, 1));
    }
}
