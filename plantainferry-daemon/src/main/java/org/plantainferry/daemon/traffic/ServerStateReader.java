package org.plantainferry.daemon.traffic;

import java.util.concurrent.CompletableFuture;
import org.plantainferry.network.target.ServerState;

/**
 * Requests the states of servers.
 *
 * @since 0.1
 */
public interface ServerStateReader {
    /**
     * Requests the state of a server.
     *
     * @param address IP:PORT of the server
     * @return a future that fails when the server cannot be reached or does not answer within the
     *     timeout
     */
    CompletableFuture<ServerState> read(String address, long timeoutMillis);
}
