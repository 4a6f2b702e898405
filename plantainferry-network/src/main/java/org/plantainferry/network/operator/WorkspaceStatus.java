package org.plantainferry.network.operator;

import org.plantainferry.api.Preconditions;
import org.plantainferry.api.WorkspaceName;

/**
 * Describes how much of a workspace's rate an instance uses.
 *
 * @param workspace the workspace
 * @param ratePerSecond its rate across all instances, in statements per second
 * @param grantedRatePerSecond the part of that rate currently granted to the instance, in
 *     statements per second
 * @param usedPerSecond the rate that the instance used recently, in statements per second
 * @since 0.1
 */
public record WorkspaceStatus(
        WorkspaceName workspace,
        double ratePerSecond,
        double grantedRatePerSecond,
        double usedPerSecond) {
    /** Checks that nothing required is missing. */
    public WorkspaceStatus {
        Preconditions.notNull(workspace, "workspace");
    }
}
