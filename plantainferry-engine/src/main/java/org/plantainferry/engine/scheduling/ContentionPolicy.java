package org.plantainferry.engine.scheduling;

import org.plantainferry.engine.catalog.GroupSettings;
import org.plantainferry.engine.catalog.RoutingConfiguration;

/**
 * Tells from a configuration and the size of the fleet which decisions about scarce room it calls
 * for.
 *
 * @since 0.4
 */
public final class ContentionPolicy {
    // Each connection belongs to one workspace. Below this number of workspaces for each connection
    // of an instance, an instance rarely closes a connection of one workspace for another.
    private static final double MIN_WORKSPACES_PER_CONNECTION = 25;

    private ContentionPolicy() {}

    /**
     * Returns whether the servers of a service accept so few connections that the instances must
     * concentrate the statements for it.
     *
     * @param instances the number of instances, including this one
     * @param group the configuration of the service
     */
    public static boolean concentrates(
            RoutingConfiguration configuration, int instances, GroupSettings group) {
        double connectionsPerInstance = (double) group.maximumConnections() / instances;
        int workspaces = configuration.limits().size();
        return workspaces / connectionsPerInstance >= MIN_WORKSPACES_PER_CONNECTION;
    }
}
