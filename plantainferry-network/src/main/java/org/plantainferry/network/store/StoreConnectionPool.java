package org.plantainferry.network.store;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.network.http.Futures;
import org.plantainferry.network.http.HttpConnection;
import org.plantainferry.network.http.HttpConnector;
import org.plantainferry.network.http.HttpRequest;
import org.plantainferry.network.http.HttpResponse;

/**
 * Pools connections to the store; each carries one call at a time.
 *
 * @since 0.1
 */
public final class StoreConnectionPool implements AutoCloseable {
    // The control thread makes few concurrent calls; a larger number means that the store hangs.
    private static final int MAX_CALLS_IN_PROGRESS = 32;
    private static final int MAX_IDLE_CONNECTIONS = 4;

    private final HttpConnector mConnector;
    private final String mAddress;
    private final Deque<HttpConnection> mIdleConnections = new ArrayDeque<>();
    private final Set<HttpConnection> mConnectionsInUse = new HashSet<>();
    private int mCallsInProgress;
    private boolean mClosed;

    /** Creates an empty pool; connections open on demand. */
    public StoreConnectionPool(HttpConnector connector, String address) {
        mConnector = connector;
        mAddress = address;
    }

    /**
     * Sends a request on an idle or new connection; fails immediately when 32 calls are in progress
     * or the pool is closed.
     *
     * @param timeoutMillis milliseconds from this call to the complete response, which include the
     *     time to connect
     */
    public CompletableFuture<HttpResponse> send(HttpRequest request, long timeoutMillis) {
        CompletableFuture<HttpResponse> result = new CompletableFuture<>();
        Optional<HttpConnection> idle;
        synchronized (this) {
            if (mClosed || mCallsInProgress >= MAX_CALLS_IN_PROGRESS) {
                String reason = mClosed ? "the client is closed" : "too many calls in progress";
                result.completeExceptionally(
                        new PlantainferryException(ErrorCode.STORE_UNAVAILABLE, reason));
                return result;
            }
            mCallsInProgress++;
            idle = takeIdle();
        }
        if (idle.isPresent()) {
            sendOn(idle.get(), request, timeoutMillis, result);
        } else {
            connectAndSend(request, timeoutMillis, result);
        }
        return result;
    }

    @Override
    public void close() {
        Set<HttpConnection> connections;
        synchronized (this) {
            mClosed = true;
            connections = new HashSet<>(mConnectionsInUse);
            connections.addAll(mIdleConnections);
            mIdleConnections.clear();
            mConnectionsInUse.clear();
        }
        connections.forEach(HttpConnection::close);
    }

    private Optional<HttpConnection> takeIdle() {
        // Takes the most recently used connection, so that surplus ones stay idle until the store
        // closes them.
        for (HttpConnection connection = mIdleConnections.pollLast();
                connection != null;
                connection = mIdleConnections.pollLast()) {
            if (connection.isOpen()) {
                mConnectionsInUse.add(connection);
                return Optional.of(connection);
            }
        }
        return Optional.empty();
    }

    private void connectAndSend(
            HttpRequest request, long timeoutMillis, CompletableFuture<HttpResponse> result) {
        long startedNanos = System.nanoTime();
        mConnector
                .connect(mAddress)
                .whenComplete(
                        (connection, error) -> {
                            if (error != null) {
                                endCall();
                                result.completeExceptionally(Futures.unwrap(error));
                            } else if (register(connection)) {
                                long elapsedMillis =
                                        TimeUnit.NANOSECONDS.toMillis(
                                                System.nanoTime() - startedNanos);
                                long remainingMillis = Math.max(1, timeoutMillis - elapsedMillis);
                                sendOn(connection, request, remainingMillis, result);
                            } else {
                                endCall();
                                connection.close();
                                result.completeExceptionally(
                                        new PlantainferryException(
                                                ErrorCode.STORE_UNAVAILABLE,
                                                "the client is closed"));
                            }
                        });
    }

    private void sendOn(
            HttpConnection connection,
            HttpRequest request,
            long timeoutMillis,
            CompletableFuture<HttpResponse> result) {
        connection
                .send(request, timeoutMillis)
                .whenComplete(
                        (response, error) -> {
                            release(connection);
                            if (error != null) {
                                result.completeExceptionally(Futures.unwrap(error));
                            } else {
                                result.complete(response);
                            }
                        });
    }

    private synchronized boolean register(HttpConnection connection) {
        return !mClosed && mConnectionsInUse.add(connection);
    }

    private synchronized void endCall() {
        mCallsInProgress--;
    }

    private void release(HttpConnection connection) {
        synchronized (this) {
            mCallsInProgress--;
            mConnectionsInUse.remove(connection);
            if (!mClosed && connection.isOpen() && mIdleConnections.size() < MAX_IDLE_CONNECTIONS) {
                mIdleConnections.addLast(connection);
                return;
            }
        }
        connection.close();
    }
}
