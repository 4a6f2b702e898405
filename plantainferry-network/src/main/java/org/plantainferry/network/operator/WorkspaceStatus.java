package org.plantainferry.network.operator;

import org.plantainferry.api.Preconditions;
import org.plantainferry.api.WorkspaceName;

/**
 * Describes the use of a workspace's rate at an instance.
 *
 * @param workspace the workspace
 * @param ratePerSecond its rate across the whole fleet, in statements a second
 * @param grantedRatePerSecond the part of it that the instance may use now
 * @param usedPerSecond what the instance used lately
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
