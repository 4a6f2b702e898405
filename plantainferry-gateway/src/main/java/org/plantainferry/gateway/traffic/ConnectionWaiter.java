package org.plantainferry.gateway.traffic;

import java.util.function.Consumer;

/** Holds a request for a connection of a pool until it has its result. */
final class ConnectionWaiter {
    private final ConnectionRequest mRequest;
    private final Consumer<PooledConnectionResult> mCallback;
    private boolean mEnded;

    /**
     * Creates a request that has no result yet.
     *
     * @param callback receives the connection, or the reason why there is none
     */
    ConnectionWaiter(ConnectionRequest request, Consumer<PooledConnectionResult> callback) {
        mRequest = request;
        mCallback = callback;
    }

    ConnectionRequest request() {
        return mRequest;
    }

    String workspace() {
        return mRequest.workspace();
    }

    /** Returns whether the request has a result, or needs none any more. */
    boolean isEnded() {
        return mEnded;
    }

    /** Ends the request without a result. */
    void cancel() {
        mEnded = true;
    }

    /** Ends the request with a result. */
    void accept(PooledConnectionResult result) {
        mEnded = true;
        mCallback.accept(result);
    }
}
