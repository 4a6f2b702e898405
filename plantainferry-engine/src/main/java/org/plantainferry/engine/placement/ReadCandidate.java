package org.plantainferry.engine.placement;

import org.plantainferry.engine.catalog.CatalogServer;

/**
 * Joins a server with what this instance knows of it.
 *
 * @param primary whether it leads its group
 * @param preferredReplica whether it is the replica to which this instance sends its reads
 * @param waiting requests of this instance that wait for a connection to it
 * @param availability what the read finds there for its workspace
 * @since 0.2
 */
public record ReadCandidate(
        CatalogServer server,
        ServerHealth health,
        boolean primary,
        boolean preferredReplica,
        int waiting,
        ConnectionAvailability availability) {}
