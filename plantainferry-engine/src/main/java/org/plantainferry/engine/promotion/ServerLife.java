package org.plantainferry.engine.promotion;

import org.plantainferry.engine.catalog.CatalogServer;

/**
 * Identifies the run of a server from one start to its end; a later run may have lost its log.
 *
 * @param server the id of the server
 * @param startedAtMillis Unix time of the start in milliseconds
 * @since 0.6
 */
public record ServerLife(String server, long startedAtMillis) {
    /** Returns the run that an entry describes. */
    public static ServerLife of(CatalogServer server) {
        return new ServerLife(server.id(), server.startedAtMillis());
    }

    /** Returns whether another run is an earlier or later one of the same server. */
    boolean isOtherRunOf(ServerLife other) {
        return server.equals(other.server) && startedAtMillis != other.startedAtMillis;
    }
}
