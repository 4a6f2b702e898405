package org.plantainferry.verification.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.WorkspaceName;
import org.plantainferry.api.configuration.CallerKey;
import org.plantainferry.api.configuration.Configuration;
import org.plantainferry.api.configuration.ConfigurationParts;
import org.plantainferry.api.configuration.DomainShare;
import org.plantainferry.api.configuration.Service;
import org.plantainferry.api.configuration.Workspace;

/** Builds the configurations of measurements. */
final class Configurations {
    private static final int SLOTS_PER_INSTANCE = 2;

    private Configurations() {}

    /** Returns the failure domains of instances, in turn; one entry for each instance. */
    static List<FailureDomain> failureDomains(int instances, String... names) {
        List<FailureDomain> domains = new ArrayList<>();
        for (int number = 0; number < instances; number++) {
            domains.add(new FailureDomain(names[number % names.length]));
        }
        return domains;
    }

    /** Returns workspaces that may use all services, each with the key {@link #callerKey}. */
    static List<Workspace> workspaces(
            int count, double rate, double burst, List<Service> services) {
        List<ServiceName> names = services.stream().map(Service::name).toList();
        List<Workspace> workspaces = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            workspaces.add(
                    new Workspace(
                            new WorkspaceName("workspace-" + number),
                            rate,
                            burst,
                            Optional.empty(),
                            Optional.empty(),
                            names,
                            List.of(new CallerKey("k1", CallerKey.hash(callerKey(number))))));
        }
        return workspaces;
    }

    static String callerKey(int workspace) {
        return "key-of-workspace-" + workspace;
    }

    static Configuration configuration(
            List<FailureDomain> instances, List<Service> services, List<Workspace> workspaces) {
        Map<String, Integer> slots = new TreeMap<>();
        instances.forEach(domain -> slots.merge(domain.value(), SLOTS_PER_INSTANCE, Integer::sum));
        List<DomainShare> shares = new ArrayList<>();
        slots.forEach((name, count) -> shares.add(new DomainShare(new FailureDomain(name), count)));
        return new Configuration(
                1,
                List.of("bench"),
                new ConfigurationParts(shares, services, workspaces, List.of(), List.of()));
    }
}
