package org.plantainferry.network.operator;

import java.util.List;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.Preconditions;

/**
 * Holds the status of an instance, the response to {@code GET /operator/status}.
 *
 * @param instance the instance
 * @param failureDomain the failure domain in which it runs
 * @param state its state, {@code live} or {@code leaving}
 * @param configurationVersion the configuration version in force at it; 0 for none
 * @param freshness how recently that version was confirmed, such as {@code FRESH}
 * @param members the instances that it knows
 * @param services the services that it serves
 * @param workspaces the workspaces and the use of their rates at this instance
 * @since 0.1
 */
public record InstanceStatus(
        InstanceId instance,
        FailureDomain failureDomain,
        String state,
        long configurationVersion,
        String freshness,
        List<MemberStatus> members,
        List<ServiceStatus> services,
        List<WorkspaceStatus> workspaces) {
    /** Checks that nothing required is missing; missing lists are empty. */
    public InstanceStatus {
        Preconditions.notNull(instance, "instance");
        Preconditions.notNull(failureDomain, "failureDomain");
        Preconditions.notNull(state, "state");
        Preconditions.notNull(freshness, "freshness");
        members = members == null ? List.of() : List.copyOf(members);
        services = services == null ? List.of() : List.copyOf(services);
        workspaces = workspaces == null ? List.of() : List.copyOf(workspaces);
    }
}
