package org.plantainferry.engine.scheduling;

import org.plantainferry.engine.catalog.RoutingConfiguration;
import org.plantainferry.engine.catalog.WorkspaceLimit;

/**
 * Tells from a configuration and the size of the fleet which decisions about scarce room it calls
 * for.
 *
 * @since 0.4
 */
public final class ContentionPolicy {
    // Between statements at greater intervals, a connection idles for so long that it is closed for
    // another workspace, or that the fleet holds many more connections than it uses.
    private static final double MIN_STATEMENTS_PER_SECOND = 0.25;

    private ContentionPolicy() {}

    /**
     * Returns whether the instances must concentrate the statements for a service, because each of
     * them would use a connection of a workspace too rarely.
     *
     * <p>Assumes that the workspaces use up their rates, on all services and instances alike.
     *
     * @param instances the number of instances, including this one
     */
    public static boolean concentrates(RoutingConfiguration configuration, int instances) {
        double rate =
                configuration.limits().values().stream()
                        .mapToDouble(WorkspaceLimit::ratePerSecond)
                        .sum();
        double connections =
                (double) instances * configuration.limits().size() * configuration.groups().size();
        return rate < MIN_STATEMENTS_PER_SECOND * connections;
    }
}
