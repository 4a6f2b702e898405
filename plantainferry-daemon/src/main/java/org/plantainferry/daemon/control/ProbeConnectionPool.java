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
 * Carries probes, fence and promote requests on connections of their own.
 *
 * <p>A server whose connection limit is used up by statements must still answer a probe; keeping a
 * connection avoids the cost of opening one for each probe. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class ProbeConnectionPool implements ServerStateReader {
    private static final int MAX_IDLE_PER_SERVER = 2;

    private final TargetConnector mConnector;
    private final Map<String, Deque<TargetConnection>> mIdleConnections = new HashMap<>();

    /** Creates a set without connections. */
    public ProbeConnectionPool(TargetConnector connector) {
        mConnector = connector;
    }

    @Override
    public CompletableFuture<ServerState> read(String address, long timeoutMillis) {
        return call(address, TargetProtocol.state(), timeoutMillis, TargetProtocol::readState);
    }

    /**
     * Sends a request and reads its answer.
     *
     * @return a future that fails when no readable answer comes within the timeout
     */
    <T> CompletableFuture<T> call(
            String address,
            TargetRequest request,
            long timeoutMillis,
            Function<TargetResponse, T> reader) {
        CompletableFuture<TargetConnection> connected =
                takeIdle(address)
                        .map(CompletableFuture::completedFuture)
                        .orElseGet(() -> mConnector.connect(address));
        return connected.thenCompose(
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
                                .thenApply(reader));
    }

    private synchronized Optional<TargetConnection> takeIdle(String address) {
        Deque<TargetConnection> idle = mIdleConnections.get(address);
        while (idle != null && !idle.isEmpty()) {
            TargetConnection connection = idle.pollLast();
            if (connection.isOpen()) {
                return Optional.of(connection);
            }
        }
        return Optional.empty();
    }

    private synchronized void release(String address, TargetConnection connection) {
        Deque<TargetConnection> idle =
                mIdleConnections.computeIfAbsent(address, key -> new ArrayDeque<>());
        if (!connection.isOpen() || idle.size() >= MAX_IDLE_PER_SERVER) {
            connection.close();
            return;
        }
        idle.addLast(connection);
    }
}
