package org.plantainferry.network.store;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.network.http.Futures;
import org.plantainferry.network.http.HttpConnection;
import org.plantainferry.network.http.HttpConnector;
import org.plantainferry.network.http.HttpRequest;
import org.plantainferry.network.http.HttpResponse;

/**
 * Keeps a few connections to the store, each with one call in progress.
 *
 * @since 0.1
 */
public final class StoreConnectionPool implements AutoCloseable {
    // The control thread has few calls in progress; more of them mean that the store hangs.
    private static final int MAX_CALLS_IN_PROGRESS = 32;
    private static final int MAX_IDLE_CONNECTIONS = 4;

    private final HttpConnector mConnector;
    private final String mAddress;
    private final Deque<HttpConnection> mIdleConnections = new ArrayDeque<>();
    private final Set<HttpConnection> mConnectionsInUse = new HashSet<>();
    private int mCallsInProgress;
    private boolean mClosed;

    /** Creates the connections; they open at the first call. */
    public StoreConnectionPool(HttpConnector connector, String address) {
        mConnector = connector;
        mAddress = address;
    }

    /** Makes a call on a free connection; at most 32 calls are in progress. */
    public CompletableFuture<HttpResponse> send(HttpRequest call, long timeoutMillis) {
        CompletableFuture<HttpResponse> result = new CompletableFuture<>();
        Optional<HttpConnection> kept;
        synchronized (this) {
            if (mClosed || mCallsInProgress >= MAX_CALLS_IN_PROGRESS) {
                String reason = mClosed ? "the client is closed" : "too many calls in progress";
                result.completeExceptionally(
                        new PlantainferryException(ErrorCode.STORE_UNAVAILABLE, reason));
                return result;
            }
            mCallsInProgress++;
            kept = takeIdle();
        }
        if (kept.isPresent()) {
            sendOn(kept.get(), call, timeoutMillis, result);
        } else {
            connectAndSend(call, timeoutMillis, result);
        }
        return result;
    }

    @Override
    public void close() {
        Set<HttpConnection> all;
        synchronized (this) {
            mClosed = true;
            all = new HashSet<>(mConnectionsInUse);
            all.addAll(mIdleConnections);
            mIdleConnections.clear();
            mConnectionsInUse.clear();
        }
        all.forEach(HttpConnection::close);
    }

    private Optional<HttpConnection> takeIdle() {
        // The latest one is taken, so that surplus connections grow old and the store closes them.
        for (HttpConnection each = mIdleConnections.pollLast();
                each != null;
                each = mIdleConnections.pollLast()) {
            if (each.isOpen()) {
                mConnectionsInUse.add(each);
                return Optional.of(each);
            }
        }
        return Optional.empty();
    }

    private void connectAndSend(
            HttpRequest call, long timeoutMillis, CompletableFuture<HttpResponse> result) {
        mConnector
                .connect(mAddress)
                .whenComplete(
                        (connection, error) -> {
                            if (error != null) {
                                endCall();
                                result.completeExceptionally(Futures.unwrap(error));
                            } else if (register(connection)) {
                                sendOn(connection, call, timeoutMillis, result);
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
            HttpRequest call,
            long timeoutMillis,
            CompletableFuture<HttpResponse> result) {
        connection
                .send(call, timeoutMillis)
                .whenComplete(
                        (answer, error) -> {
                            release(connection);
                            if (error != null) {
                                result.completeExceptionally(Futures.unwrap(error));
                            } else {
                                result.complete(answer);
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
