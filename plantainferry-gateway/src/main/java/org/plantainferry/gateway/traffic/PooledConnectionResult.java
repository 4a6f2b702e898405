package org.plantainferry.gateway.traffic;

import java.util.Optional;

/**
 * Holds a connection from a pool, or the reason why none was granted.
 *
 * @param connection the connection; empty when the request was refused
 * @param reason why the request was refused; empty otherwise
 */
record PooledConnectionResult(Optional<ServerConnection> connection, String reason) {
    static PooledConnectionResult granted(ServerConnection connection) {
        return new PooledConnectionResult(Optional.of(connection), "");
    }

    static PooledConnectionResult refused(String reason) {
        return new PooledConnectionResult(Optional.empty(), reason);
    }
}
