package org.plantainferry.engine.capacity;

import java.util.Optional;

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

    /**
     * Returns the time until the answer to a statement of a kind that is sent now, including the
     * usual wait at the server, in nanoseconds.
     */
    default long expectedNanos(WorkKind kind, long nowNanos) {
        return serviceNanos(kind);
    }

    /**
     * Returns whether the beliefs about the server are old, because nothing has been in progress
     * there for some time.
     */
    default boolean isStale(long nowNanos) {
        return false;
    }

    /** Returns what the server is believed to take; empty when nothing is learned about it. */
    default Optional<ServerCapacity> snapshot() {
        return Optional.empty();
    }

    /**
     * Returns what the server is believed to take, if that has changed much since this method last
     * returned it.
     */
    default Optional<ServerCapacity> takeChange(long nowNanos) {
        return Optional.empty();
    }
}
