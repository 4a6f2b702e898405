package org.plantainferry.engine.placement;

import org.plantainferry.engine.capacity.ServerRoom;
import org.plantainferry.engine.catalog.CatalogServer;

/**
 * Combines a server with what this instance knows about it.
 *
 * @param room what the server takes well
 * @param primary whether the server is the primary of its group
 * @param preferredReplica whether the server is the replica to which this instance sends its reads
 * @param waiting the number of requests of this instance that wait for a connection to the server
 * @param availability whether the server has a connection for the workspace of the read
 * @since 0.2
 */
public record ReadCandidate(
        CatalogServer server,
        ServerHealth health,
        ServerRoom room,
        boolean primary,
        boolean preferredReplica,
        int waiting,
        ConnectionAvailability availability) {}
