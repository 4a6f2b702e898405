package org.plantainferry.daemon.traffic;

import java.util.concurrent.CompletableFuture;
import org.plantainferry.network.target.ServerState;

/**
 * Asks servers for their states.
 *
 * @since 0.1
 */
public interface ServerStateReader {
    /**
     * Asks a server.
     *
     * @param address IP:PORT of the server
     * @return a future that fails when the server does not answer within the timeout
     */
    CompletableFuture<ServerState> read(String address, long timeoutMillis);
}
