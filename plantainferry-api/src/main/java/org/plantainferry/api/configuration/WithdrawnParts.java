package org.plantainferry.api.configuration;

import java.util.List;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.WorkspaceName;

/**
 * Names the parts that a release note withdraws.
 *
 * @param failureDomains names of failure domains
 * @param services names of services
 * @param workspaces names of workspaces
 * @param openRoutes names of open routes
 * @param keys keys, each by its workspace and name
 * @since 0.1
 */
public record WithdrawnParts(
        List<FailureDomain> failureDomains,
        List<ServiceName> services,
        List<WorkspaceName> workspaces,
        List<String> openRoutes,
        List<KeyReference> keys) {
    /** Withdraws nothing. */
    public static final WithdrawnParts NONE = new WithdrawnParts(null, null, null, null, null);

    /** Treats missing lists as empty. */
    public WithdrawnParts {
        failureDomains = failureDomains == null ? List.of() : List.copyOf(failureDomains);
        services = services == null ? List.of() : List.copyOf(services);
        workspaces = workspaces == null ? List.of() : List.copyOf(workspaces);
        openRoutes = openRoutes == null ? List.of() : List.copyOf(openRoutes);
        keys = keys == null ? List.of() : List.copyOf(keys);
    }

    /** Returns whether nothing is withdrawn. */
    public boolean isEmpty() {
        return failureDomains.isEmpty()
                && services.isEmpty()
                && workspaces.isEmpty()
                && openRoutes.isEmpty()
                && keys.isEmpty();
    }

    /**
     * Names a key of a workspace.
     *
     * @param workspace the workspace of the key
     * @param id the name of the key
     */
    public record KeyReference(WorkspaceName workspace, String id) {
        /** Checks that nothing is missing. */
        public KeyReference {
            Preconditions.notNull(workspace, "workspace of a withdrawn key");
            Preconditions.validName(id, "key id");
        }
    }
}
