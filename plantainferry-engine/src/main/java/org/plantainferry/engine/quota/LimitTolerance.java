package org.plantainferry.engine.quota;

import org.plantainferry.engine.catalog.WorkspaceLimit;

/**
 * Defines by how much operations may exceed the limit of a workspace.
 *
 * @param windowSeconds the length of the window in which operations are counted
 * @param excessFraction the fraction by which the limit may be exceeded in the window
 * @param slackOperations the number of operations by which the limit may be exceeded in the window
 * @since 0.2
 */
public record LimitTolerance(double windowSeconds, double excessFraction, double slackOperations) {
    // The rest of the tolerance covers demand reports that are still in transit.
    private static final double USED_FRACTION = 0.45;

    /**
     * Returns the number of tokens that each instance may hold in addition to its share.
     *
     * <p>They allow an instance with a share of less than one token to serve a first operation at
     * once.
     */
    public double extraTokens(WorkspaceLimit limit, int instances) {
        double full = limit.ratePerSecond() * windowSeconds + limit.burst();
        return USED_FRACTION * (full * excessFraction + slackOperations) / instances;
    }
}
