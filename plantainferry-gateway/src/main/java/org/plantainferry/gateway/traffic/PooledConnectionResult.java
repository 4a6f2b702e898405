package org.plantainferry.gateway.traffic;

import java.util.Optional;

/**
 * Holds a connection, or the reason why there is none.
 *
 * @param connection the connection; empty when it was refused
 * @param reason why there is none
 */
record PooledConnectionResult(Optional<ServerConnection> connection, String reason) {
    static PooledConnectionResult granted(ServerConnection link) {
        return new PooledConnectionResult(Optional.of(link), "");
    }

    static PooledConnectionResult refused(String reason) {
        return new PooledConnectionResult(Optional.empty(), reason);
    }
}
