package org.plantainferry.api.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.WorkspaceName;

/** Finds the mistakes between the parts of a configuration, all in one pass. */
final class ConfigurationValidator {
    private ConfigurationValidator() {}

    static List<String> findMistakes(ConfigurationParts parts) {
        List<String> mistakes = new ArrayList<>();
        checkUnique(parts.failureDomains(), DomainShare::name, "failure domain", mistakes);
        checkUnique(parts.services(), Service::name, "service", mistakes);
        checkUnique(parts.workspaces(), Workspace::name, "workspace", mistakes);
        checkUnique(parts.openRoutes(), OpenRoute::name, "open route", mistakes);
        if (!parts.keys().isEmpty()) {
            mistakes.add("keys stand inside their workspaces");
        }
        checkServers(parts, mistakes);
        checkKeys(parts, mistakes);
        checkReferences(parts, mistakes);
        return mistakes;
    }

    private static void checkServers(ConfigurationParts parts, List<String> mistakes) {
        Set<FailureDomain> domains =
                parts.failureDomains().stream().map(DomainShare::name).collect(Collectors.toSet());
        List<TargetServer> servers =
                parts.services().stream().flatMap(each -> each.servers().stream()).toList();
        checkUnique(servers, TargetServer::id, "server", mistakes);
        for (TargetServer server : servers) {
            if (!domains.contains(server.failureDomain())) {
                mistakes.add(
                        "server "
                                + server.id()
                                + " is in the unknown failure domain "
                                + server.failureDomain());
            }
        }
    }

    private static void checkKeys(ConfigurationParts parts, List<String> mistakes) {
        for (Workspace workspace : parts.workspaces()) {
            checkUnique(workspace.keys(), CallerKey::id, "key of " + workspace.name(), mistakes);
        }
        List<CallerKey> keys =
                parts.workspaces().stream().flatMap(each -> each.keys().stream()).toList();
        Set<String> hashes = new HashSet<>();
        for (CallerKey key : keys) {
            if (!hashes.add(key.sha256())) {
                mistakes.add("the hash of key " + key.id() + " is in use by another key");
            }
        }
    }

    private static void checkReferences(ConfigurationParts parts, List<String> mistakes) {
        Set<ServiceName> services =
                parts.services().stream().map(Service::name).collect(Collectors.toSet());
        Set<WorkspaceName> workspaces =
                parts.workspaces().stream().map(Workspace::name).collect(Collectors.toSet());
        for (Workspace workspace : parts.workspaces()) {
            for (ServiceName service : workspace.services()) {
                if (!services.contains(service)) {
                    mistakes.add(
                            "workspace " + workspace.name() + " names no known service " + service);
                }
            }
        }
        for (OpenRoute route : parts.openRoutes()) {
            if (!services.contains(route.service())) {
                mistakes.add("open route " + route.name() + " names no known service");
            }
            if (!workspaces.contains(route.workspace())) {
                mistakes.add("open route " + route.name() + " names no known workspace");
            }
        }
    }

    private static <T, K> void checkUnique(
            List<T> parts, Function<T, K> key, String what, List<String> mistakes) {
        Set<K> seen = new HashSet<>();
        for (T part : parts) {
            if (!seen.add(key.apply(part))) {
                mistakes.add(what + " " + key.apply(part) + " stands twice");
            }
        }
    }
}
