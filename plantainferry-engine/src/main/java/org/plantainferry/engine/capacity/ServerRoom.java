package org.plantainferry.engine.capacity;

/**
 * Tells how many statements of this instance may be in progress at one server.
 *
 * <p>Times are monotonic nanoseconds that are passed in. Implementations are not thread-safe.
 *
 * @since 0.4
 */
public interface ServerRoom {
    /** Describes how a statement in progress ended. */
    enum Outcome {
        /** The server ran the statement and answered. */
        ANSWERED,
        /** The server refused because its queue is full. */
        BUSY,
        /** No answer arrived, or one that says nothing about the load of the server. */
        FAILED
    }

    /** Returns how many statements may be in progress now; at least 1. */
    int limit(long nowNanos);

    /** Returns the number of statements in progress. */
    int inFlight();

    /** Records that a statement was sent. */
    void onSent(WorkKind kind, long nowNanos);

    /** Records the end of a statement for which {@link #onSent} was called. */
    void onEnded(WorkKind kind, Outcome outcome, long elapsedNanos, long nowNanos);

    /**
     * Returns the time that the server takes for a statement of a kind, without the time that the
     * statement waits there behind others, in nanoseconds.
     */
    long serviceNanos(WorkKind kind);
}
