package org.plantainferry.daemon.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.plantainferry.daemon.traffic.ServerStateReader;
import org.plantainferry.network.target.ServerState;
import org.plantainferry.network.target.TargetConnection;
import org.plantainferry.network.target.TargetConnector;
import org.plantainferry.network.target.TargetProtocol;
import org.plantainferry.network.target.TargetRequest;
import org.plantainferry.network.target.TargetResponse;

/**
 * Sends probe, fence and promote requests over connections that no statement uses.
 *
 * <p>A server whose connection limit is used up by statements must still answer a probe. Idle
 * connections are kept, which avoids opening one for each probe. Thread-safe.
 *
 * @since 0.1
 */
public final class ProbeConnectionPool implements ServerStateReader {
    private static final int MAX_IDLE_PER_SERVER = 2;

    private final TargetConnector mConnector;
    private final Map<String, Deque<TargetConnection>> mIdleConnections = new HashMap<>();

    /** Creates an empty pool. */
    public ProbeConnectionPool(TargetConnector connector) {
        mConnector = connector;
    }

    @Override
    public CompletableFuture<ServerState> read(String address, long timeoutMillis) {
        return call(address, TargetProtocol.state(), timeoutMillis, TargetProtocol::readState);
    }

    /**
     * Sends a request and decodes its answer.
     *
     * @param timeoutMillis the time for the answer, not counting the opening of a connection
     * @return a future that fails when no connection can be opened or no readable answer arrives
     *     within the timeout
     */
    <T> CompletableFuture<T> call(
            String address,
            TargetRequest request,
            long timeoutMillis,
            Function<TargetResponse, T> decoder) {
        CompletableFuture<TargetConnection> connecting =
                takeIdle(address)
                        .map(CompletableFuture::completedFuture)
                        .orElseGet(() -> mConnector.connect(address));
        return connecting.thenCompose(
                connection ->
                        connection
                                .send(request, timeoutMillis)
                                .whenComplete(
                                        (response, failure) -> {
                                            if (failure == null) {
                                                release(address, connection);
                                            } else {
                                                connection.close();
                                            }
                                        })
                                .thenApply(decoder));
    }

    private synchronized Optional<TargetConnection> takeIdle(String address) {
        Deque<TargetConnection> idleConnections = mIdleConnections.get(address);
        while (idleConnections != null && !idleConnections.isEmpty()) {
            TargetConnection connection = idleConnections.pollLast();
            if (connection.isOpen()) {
                return Optional.of(connection);
            }
        }
        return Optional.empty();
    }

    private synchronized void release(String address, TargetConnection connection) {
        Deque<TargetConnection> idleConnections =
                mIdleConnections.computeIfAbsent(address, key -> new ArrayDeque<>());
        if (!connection.isOpen() || idleConnections.size() >= MAX_IDLE_PER_SERVER) {
            connection.close();
            return;
        }
        idleConnections.addLast(connection);
    }
}
