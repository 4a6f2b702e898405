package org.plantainferry.gateway.traffic;

import java.util.Optional;

/**
 * Holds a connection, or the reason why there is none.
 *
 * @param link the connection; empty when it was refused
 * @param reason why there is none
 */
record PoolAnswer(Optional<ServerLink> link, String reason) {
    static PoolAnswer granted(ServerLink link) {
        return new PoolAnswer(Optional.of(link), "");
    }

    static PoolAnswer refused(String reason) {
        return new PoolAnswer(Optional.empty(), reason);
    }
}
