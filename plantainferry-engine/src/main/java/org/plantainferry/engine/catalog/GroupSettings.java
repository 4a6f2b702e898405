package org.plantainferry.engine.catalog;

/**
 * Holds what the configuration says of one group of servers.
 *
 * @param maximumConnections connections that one server takes from all callers together
 * @param synchronousReplicas replicas that confirm a commit before it is acknowledged
 * @since 0.2
 */
public record GroupSettings(int maximumConnections, int synchronousReplicas) {}
