package org.plantainferry.network.store;

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
 * Opens connections to the store; each carries a single call.
 *
 * <p>The store's responses do not name their call, and may come twice. No response can reach
 * another call, because a connection ends with its call. The connection for the next call is opened
 * during a call, so that the next call does not wait for it.
 *
 * @since 0.1
 */
public final class StoreConnectionPool implements AutoCloseable {
    // The control thread makes few concurrent calls; a larger number means that the store hangs.
    private static final int MAX_CALLS_IN_PROGRESS = 32;

    private final HttpConnector mConnector;
    private final String mAddress;
    private final Set<HttpConnection> mConnectionsInUse = new HashSet<>();
    // A connection that has not carried a call.
    private Optional<HttpConnection> mNextConnection = Optional.empty();
    private boolean mOpeningNextConnection;
    private int mCallsInProgress;
    private boolean mClosed;

    /** Creates an empty pool; connections open on demand. */
    public StoreConnectionPool(HttpConnector connector, String address) {
        mConnector = connector;
        mAddress = address;
    }

    /**
     * Sends a request on a connection of its own; fails immediately when 32 calls are in progress
     * or the pool is closed.
     *
     * @param timeoutMillis milliseconds from this call to the complete response, which include the
     *     time to connect
     */
    public CompletableFuture<HttpResponse> send(HttpRequest request, long timeoutMillis) {
        CompletableFuture<HttpResponse> result = new CompletableFuture<>();
        Optional<HttpConnection> next;
        synchronized (this) {
            if (mClosed || mCallsInProgress >= MAX_CALLS_IN_PROGRESS) {
                String reason = mClosed ? "the client is closed" : "too many calls in progress";
                result.completeExceptionally(
                        new PlantainferryException(ErrorCode.STORE_UNAVAILABLE, reason));
                return result;
            }
            mCallsInProgress++;
            next = takeNextConnection();
        }
        if (next.isPresent()) {
            sendOn(next.get(), request, timeoutMillis, result);
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
            mNextConnection.ifPresent(connections::add);
            mNextConnection = Optional.empty();
            mConnectionsInUse.clear();
        }
        connections.forEach(HttpConnection::close);
    }

    private Optional<HttpConnection> takeNextConnection() {
        Optional<HttpConnection> next = mNextConnection.filter(HttpConnection::isOpen);
        mNextConnection = Optional.empty();
        next.ifPresent(mConnectionsInUse::add);
        return next;
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
        openNextConnection();
    }

    private void openNextConnection() {
        synchronized (this) {
            boolean isOpen = mNextConnection.filter(HttpConnection::isOpen).isPresent();
            if (mClosed || mOpeningNextConnection || isOpen) {
                return;
            }
            mOpeningNextConnection = true;
        }
        mConnector.connect(mAddress).whenComplete((connection, error) -> keep(connection, error));
    }

    /** Keeps a new connection for the next call; does nothing if connecting failed. */
    private void keep(HttpConnection connection, Throwable error) {
        synchronized (this) {
            mOpeningNextConnection = false;
            if (error != null) {
                return;
            }
            if (!mClosed) {
                mNextConnection = Optional.of(connection);
                return;
            }
        }
        connection.close();
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
        }
        connection.close();
    }
}
