package org.plantainferry.engine.catalog;

/**
 * Holds the configuration of one group of servers.
 *
 * @param maximumConnections the maximum number of connections to one server from all callers
 * @param synchronousReplicas the number of replicas that confirm a commit before it is acknowledged
 * @since 0.2
 */
public record GroupSettings(int maximumConnections, int synchronousReplicas) {}
