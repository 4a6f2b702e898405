package org.plantainferry.gateway.traffic;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.function.Consumer;
import org.plantainferry.engine.sessionstate.PreparedStatementDefinition;
import org.plantainferry.engine.sessionstate.SessionState;

/** Holds a request that waits for a connection. */
final class ConnectionWaiter {
    private final String mWorkspace;
    private final SessionState mSessionState;
    private final Optional<PreparedStatementDefinition> mRequiredDefinition;
    private final long mWaitingSinceNanos;
    private final Consumer<PooledConnectionResult> mCallback;
    private ScheduledFuture<?> mTimeout;

    /**
     * Creates a waiting request.
     *
     * @param callback receives the connection, or the reason why there is none
     */
    ConnectionWaiter(
            String workspace,
            SessionState sessionState,
            Optional<PreparedStatementDefinition> requiredDefinition,
            long waitingSinceNanos,
            Consumer<PooledConnectionResult> callback) {
        mWorkspace = workspace;
        mSessionState = sessionState;
        mRequiredDefinition = requiredDefinition;
        mWaitingSinceNanos = waitingSinceNanos;
        mCallback = callback;
    }

    String workspace() {
        return mWorkspace;
    }

    SessionState sessionState() {
        return mSessionState;
    }

    Optional<PreparedStatementDefinition> requiredDefinition() {
        return mRequiredDefinition;
    }

    long waitingSinceNanos() {
        return mWaitingSinceNanos;
    }

    /** Sets the timer that ends the wait. */
    void setTimeout(ScheduledFuture<?> timeout) {
        mTimeout = timeout;
    }

    /** Ends the wait with a result. */
    void accept(PooledConnectionResult result) {
        mTimeout.cancel(false);
        mCallback.accept(result);
    }
}
