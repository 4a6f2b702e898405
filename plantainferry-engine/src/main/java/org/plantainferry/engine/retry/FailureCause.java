package org.plantainferry.engine.retry;

/**
 * Classifies failed attempts by what a repeat can change.
 *
 * @since 0.1
 */
public enum FailureCause {
    /** The server has not reached the required position, or its data was too old. */
    BEHIND(true, true),
    /** The server is leaving, is not the primary, or is in another term. */
    WRONG_SERVER(true, true),
    /** The server refused because it, or its limit of connections, is fully used. */
    BUSY(true, false),
    /** No connection could be opened. */
    CONNECT_FAILED(true, false),
    /** The connection broke, or no answer came in time. */
    CONNECTION_LOST(true, false),
    /** The server or this instance could not confirm the write. */
    UNCONFIRMED(true, false),
    /** The request itself is at fault; each server would refuse it. */
    REQUEST_REJECTED(false, false);

    private final boolean mRetryable;
    private final boolean mRoutingFailure;

    FailureCause(boolean repeatable, boolean rerouting) {
        mRetryable = repeatable;
        mRoutingFailure = rerouting;
    }

    /** Returns whether another attempt can have another result. */
    public boolean isRetryable() {
        return mRetryable;
    }

    /**
     * Returns whether the server is healthy but the wrong one, so that the next one can be asked
     * without a pause.
     */
    public boolean isRoutingFailure() {
        return mRoutingFailure;
    }
}
