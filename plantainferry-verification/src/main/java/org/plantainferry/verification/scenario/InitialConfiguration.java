package org.plantainferry.verification.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.WorkspaceName;
import org.plantainferry.api.configuration.CallerKey;
import org.plantainferry.api.configuration.Configuration;
import org.plantainferry.api.configuration.ConfigurationParts;
import org.plantainferry.api.configuration.DomainShare;
import org.plantainferry.api.configuration.OpenRoute;
import org.plantainferry.api.configuration.Service;
import org.plantainferry.api.configuration.TargetServer;
import org.plantainferry.api.configuration.Workspace;

/** Builds the keys and the first version of the configuration of a scenario. */
final class InitialConfiguration {
    /** The route that needs no key; it reads the first service for the first workspace. */
    static final String OPEN_ROUTE = "look-up";

    private static final int SLOTS_PER_DOMAIN = 4;

    private InitialConfiguration() {}

    /** Returns a random key for each key name. */
    static Map<String, String> generateKeys(Scenario scenario, UniformRandomProvider random) {
        Map<String, String> keys = new TreeMap<>();
        for (Scenario.Workspace workspace : scenario.workspaces()) {
            for (String id : workspace.keyIds()) {
                keys.put(
                        id,
                        String.format(
                                "%016x%016x%016x%016x",
                                random.nextLong(),
                                random.nextLong(),
                                random.nextLong(),
                                random.nextLong()));
            }
        }
        return keys;
    }

    static Configuration build(Scenario scenario, DatabaseGroups groups, Map<String, String> keys) {
        Deployment deployment = scenario.deployment();
        List<DomainShare> domains =
                deployment.domains().stream()
                        .map(name -> new DomainShare(new FailureDomain(name), SLOTS_PER_DOMAIN))
                        .toList();
        List<Service> services =
                deployment.services().stream()
                        .map(name -> service(deployment, name, groups))
                        .toList();
        List<ServiceName> names = services.stream().map(Service::name).toList();
        List<Workspace> workspaces = new ArrayList<>();
        for (Scenario.Workspace workspace : scenario.workspaces()) {
            workspaces.add(
                    new Workspace(
                            new WorkspaceName(workspace.name()),
                            workspace.rate(),
                            workspace.burst(),
                            Optional.empty(),
                            Optional.empty(),
                            names,
                            workspace.keyIds().stream()
                                    .map(id -> new CallerKey(id, CallerKey.hash(keys.get(id))))
                                    .toList()));
        }
        OpenRoute route =
                new OpenRoute(
                        OPEN_ROUTE,
                        names.get(0),
                        workspaces.get(0).name(),
                        "GET ",
                        Optional.empty());
        return new Configuration(
                1,
                List.of(),
                new ConfigurationParts(domains, services, workspaces, List.of(route), List.of()));
    }

    private static Service service(Deployment deployment, String name, DatabaseGroups groups) {
        List<TargetServer> servers = new ArrayList<>();
        for (String server : deployment.servers(name)) {
            servers.add(
                    new TargetServer(
                            new ServerId(server),
                            groups.address(name, server),
                            new FailureDomain(deployment.domainOfServer(name, servers.size()))));
        }
        return new Service(
                new ServiceName(name), deployment.slots(), deployment.connectionLimit(), servers);
    }
}
