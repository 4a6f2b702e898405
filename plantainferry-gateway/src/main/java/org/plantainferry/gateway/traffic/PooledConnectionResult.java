package org.plantainferry.gateway.traffic;

import java.util.Optional;

/**
 * Holds a connection from a pool, or the reason why none was granted.
 *
 * @param connection the connection; empty when the request was refused
 * @param reason why the request was refused; empty otherwise
 * @param retryAfterMillis when the caller may return, if the server has too little room; empty
 *     otherwise
 */
record PooledConnectionResult(
        Optional<ServerConnection> connection, String reason, Optional<Long> retryAfterMillis) {
    static PooledConnectionResult granted(ServerConnection connection) {
        return new PooledConnectionResult(Optional.of(connection), "", Optional.empty());
    }

    static PooledConnectionResult refused(String reason) {
        return new PooledConnectionResult(Optional.empty(), reason, Optional.empty());
    }

    static PooledConnectionResult withoutRoom(String reason, long retryAfterMillis) {
        return new PooledConnectionResult(Optional.empty(), reason, Optional.of(retryAfterMillis));
    }
}
