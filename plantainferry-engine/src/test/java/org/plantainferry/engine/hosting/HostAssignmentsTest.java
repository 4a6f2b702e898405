package org.plantainferry.engine.hosting;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.catalog.GroupSettings;
import org.plantainferry.engine.catalog.PlainKeys;
import org.plantainferry.engine.catalog.RoutingConfiguration;
import org.plantainferry.engine.catalog.ServerCatalog;
import org.plantainferry.engine.catalog.WorkspaceLimit;
import org.plantainferry.engine.placement.ConnectionPlan;
import org.plantainferry.engine.placement.GroupConnections;
import org.testng.annotations.Test;

/**
 * Guards against hosts where connections suffice, and against hosts that together open more
 * connections than a server accepts.
 */
public final class HostAssignmentsTest {
    private static final String SERVICE = "service";
    private static final int CONNECTIONS = 112;
    private static final GroupConnections PLANNED =
            new GroupConnections(
                    Map.of("s1", 1, "s2", 1, "s3", 1),
                    Map.of("s1", 1L, "s2", 1L, "s3", 1L),
                    Optional.of("s2"));

    private static RoutingConfiguration configuration(int workspaces) {
        Map<String, WorkspaceLimit> limits = new HashMap<>();
        for (int index = 0; index < workspaces; index++) {
            limits.put("workspace-" + index, new WorkspaceLimit(10, 10));
        }
        return new RoutingConfiguration(
                1,
                Map.of(),
                Map.of(SERVICE, new GroupSettings(CONNECTIONS, 0)),
                new PlainKeys(Map.of()),
                limits,
                3_000);
    }

    private static ServerCatalog catalog() {
        List<CatalogServer> servers =
                List.of(
                        server("s1", "domain-0"),
                        server("s2", "domain-1"),
                        server("s3", "domain-2"));
        return new ServerCatalog(servers, Map.of(SERVICE, "s1"), Map.of());
    }

    private static CatalogServer server(String id, String domain) {
        return new CatalogServer(id, SERVICE, "127.0.0.1:1", domain, id.equals("s1"), false, 4, 0);
    }

    private static Map<String, String> domains(int instances) {
        Map<String, String> domains = new HashMap<>();
        for (int index = 0; index < instances; index++) {
            domains.put("instance-" + index, "domain-" + index % 3);
        }
        return domains;
    }

    private static HostAssignments assignments(
            int instance, int instances, int workspaces, HostMode mode) {
        Map<String, String> others = domains(instances);
        String name = "instance-" + instance;
        HostAssignments assignments = new HostAssignments(name, others.remove(name), mode);
        assignments.onView(configuration(workspaces), catalog(), others);
        return assignments;
    }

    @Test
    public void concentratesWhereTheConfigurationCallsForIt() {
        assertTrue(assignments(0, 136, 85, HostMode.AUTOMATIC).isConcentrated(SERVICE));
        assertFalse(assignments(0, 13, 85, HostMode.AUTOMATIC).isConcentrated(SERVICE));
        assertFalse(assignments(0, 136, 85, HostMode.NEVER).isConcentrated(SERVICE));
        assertTrue(assignments(0, 3, 1, HostMode.ALWAYS).isConcentrated(SERVICE));
        assertFalse(assignments(0, 1, 1, HostMode.ALWAYS).isConcentrated(SERVICE));
        assertFalse(assignments(0, 136, 85, HostMode.ALWAYS).isConcentrated("unknown"));
    }

    @Test
    public void keepsThePlanWithoutHosts() {
        HostAssignments few = assignments(0, 13, 85, HostMode.AUTOMATIC);
        assertSame(few.raise(SERVICE, PLANNED, CONNECTIONS), PLANNED);
    }

    @Test
    public void givesFirstHostsTogetherNoMoreConnectionsThanAServerAccepts() {
        int instances = 136;
        Map<String, Integer> total = new HashMap<>();
        for (int index = 0; index < instances; index++) {
            HostAssignments own = assignments(index, instances, 85, HostMode.AUTOMATIC);
            String name = "instance-" + index;
            boolean isFirst =
                    own.primaryHosts(SERVICE).indexOf(name) == 0
                            || own.readHosts(SERVICE).indexOf(name) == 0;
            GroupConnections planned =
                    new ConnectionPlan(name, domains(instances))
                            .plan(catalog().servers(SERVICE), Optional.of("s1"), CONNECTIONS);
            if (isFirst) {
                own.raise(SERVICE, planned, CONNECTIONS)
                        .limits()
                        .forEach((server, limit) -> total.merge(server, limit, Integer::sum));
            }
        }
        total.forEach((server, limit) -> assertTrue(limit <= CONNECTIONS, server + " " + limit));
        assertTrue(total.get("s1") >= CONNECTIONS / 2, "primary: " + total);
    }

    @Test
    public void keepsTheHostsOfThePrimaryWhileItIsUnknown() {
        HostAssignments own = assignments(0, 136, 85, HostMode.AUTOMATIC);
        List<String> before = own.primaryHosts(SERVICE);
        Map<String, String> others = domains(136);
        others.remove("instance-0");
        own.onView(configuration(85), ServerCatalog.EMPTY, others);
        assertEquals(own.primaryHosts(SERVICE), before);
    }
}
