package org.plantainferry.api.configuration;

import java.util.List;

/**
 * Holds the parts of a configuration, or the parts that a release note adds or changes.
 *
 * @param failureDomains the failure domains and their share slots
 * @param services the services that callers can use
 * @param workspaces the workspaces with their limits and keys
 * @param openRoutes the routes that require no key
 * @param keys the keys of workspaces; only in release notes, empty in a configuration
 * @since 0.1
 */
public record ConfigurationParts(
        List<DomainShare> failureDomains,
        List<Service> services,
        List<Workspace> workspaces,
        List<OpenRoute> openRoutes,
        List<WorkspaceKey> keys) {
    /** The parts of an empty configuration. */
    public static final ConfigurationParts EMPTY =
            new ConfigurationParts(null, null, null, null, null);

    /** Treats missing lists as empty. */
    public ConfigurationParts {
        failureDomains = copy(failureDomains);
        services = copy(services);
        workspaces = copy(workspaces);
        openRoutes = copy(openRoutes);
        keys = copy(keys);
    }

    /** Returns whether there are no parts. */
    public boolean isEmpty() {
        return failureDomains.isEmpty()
                && services.isEmpty()
                && workspaces.isEmpty()
                && openRoutes.isEmpty()
                && keys.isEmpty();
    }

    private static <T> List<T> copy(List<T> list) {
        return list == null ? List.of() : List.copyOf(list);
    }
}
