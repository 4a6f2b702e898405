package org.plantainferry.engine.quota;

import org.plantainferry.engine.catalog.WorkspaceLimit;

/**
 * Says how strictly the limit of a workspace is judged.
 *
 * @param windowSeconds the window over which operations are counted
 * @param excessFraction the part by which the limit may be exceeded in the window
 * @param slackOperations operations by which the limit may be exceeded in the window
 * @since 0.2
 */
public record LimitTolerance(double windowSeconds, double excessFraction, double slackOperations) {
    // The rest of the tolerance covers reports that are on their way.
    private static final double USED_FRACTION = 0.45;

    /**
     * Returns the tokens that each instance may hold above its share.
     *
     * <p>They let an instance with a share of less than one token serve a first operation at once.
     */
    public double extraTokens(WorkspaceLimit limit, int instances) {
        double full = limit.ratePerSecond() * windowSeconds + limit.burst();
        return USED_FRACTION * (full * excessFraction + slackOperations) / instances;
    }
}
