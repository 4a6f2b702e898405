package org.plantainferry.verification.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Describes failure domains and services of one of the member organisations.
 *
 * @param name its name in scenarios
 * @param domains the failure domains
 * @param services the services; each has three servers in different failure domains
 * @param slots statements that a server runs at the same time
 * @param connectionLimit connections to one server
 * @param openMillis the time that opening a connection takes
 */
record Deployment(
        String name,
        List<String> domains,
        List<String> services,
        int slots,
        int connectionLimit,
        long openMillis) {
    private static final List<Deployment> DEPLOYMENTS =
            List.of(
                    new Deployment(
                            "lario",
                            List.of("como-a", "lecco-a", "sondrio-a"),
                            List.of("ledger-1", "ledger-2", "ledger-3"),
                            3,
                            50,
                            10),
                    new Deployment(
                            "jamaica",
                            List.of("kingston-a", "kingston-b", "spanish-town", "portmore"),
                            List.of("certifications", "installations", "lookup"),
                            5,
                            100,
                            30));
    private static final String[] SERVER_SUFFIXES = {"-a", "-b", "-c"};

    static Optional<Deployment> byName(String name) {
        return DEPLOYMENTS.stream().filter(each -> each.name().equals(name)).findFirst();
    }

    List<String> servers(String service) {
        List<String> servers = new ArrayList<>();
        for (String suffix : SERVER_SUFFIXES) {
            servers.add(service + suffix);
        }
        return servers;
    }

    /** Returns the failure domain of a server; primaries start in different ones. */
    String domainOfServer(String service, int serverIndex) {
        return domains.get((services.indexOf(service) + serverIndex) % domains.size());
    }

    List<String> instances(int perDomain) {
        List<String> instances = new ArrayList<>();
        for (String domain : domains) {
            for (int number = 1; number <= perDomain; number++) {
                instances.add(domain + "-" + number);
            }
        }
        return instances;
    }
}
