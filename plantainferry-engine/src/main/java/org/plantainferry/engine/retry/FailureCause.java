package org.plantainferry.engine.retry;

/**
 * Classifies failed attempts by whether a retry can succeed.
 *
 * @since 0.1
 */
public enum FailureCause {
    /** The server has not reached the required position, or its data is too old. */
    BEHIND(true, true),
    /** The server is leaving, is not the primary, or is in another term. */
    WRONG_SERVER(true, true),
    /** The server is overloaded, or its limit of connections is reached. */
    BUSY(true, false),
    /** No connection could be opened. */
    CONNECT_FAILED(true, false),
    /** The connection broke, or no answer came in time. */
    CONNECTION_LOST(true, false),
    /** The server or this instance could not confirm the write. */
    UNCONFIRMED(true, false),
    /** The request itself is invalid; every server would reject it. */
    REQUEST_REJECTED(false, false);

    private final boolean mRetryable;
    private final boolean mRoutingFailure;

    FailureCause(boolean retryable, boolean routingFailure) {
        mRetryable = retryable;
        mRoutingFailure = routingFailure;
    }

    /** Returns whether another attempt can have a different result. */
    public boolean isRetryable() {
        return mRetryable;
    }

    /**
     * Returns whether a healthy but unsuitable server was chosen, so that another server can be
     * tried without delay.
     */
    public boolean isRoutingFailure() {
        return mRoutingFailure;
    }
}
