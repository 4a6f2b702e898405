package org.plantainferry.engine.connection;

import org.plantainferry.api.Preconditions;

/**
 * States how a request gets a connection.
 *
 * @param <C> the type of the connections
 * @since 0.1
 */
public sealed interface ConnectionAction<C> {
    /**
     * Uses an idle connection, which now counts as used.
     *
     * @param connection the connection
     */
    record Use<C>(C connection) implements ConnectionAction<C> {
        /** Checks that the connection is present. */
        public Use {
            Preconditions.notNull(connection, "connection");
        }
    }

    /** Opens a connection, which now counts as opening, and reports how that ended. */
    record Open<C>() implements ConnectionAction<C> {}

    /**
     * Asks again at a time, or earlier when a connection is released or opened.
     *
     * @param nanos the monotonic time of the next question
     */
    record WaitUntil<C>(long nanos) implements ConnectionAction<C> {}

    /** Asks again when a connection is released, opened or closed; no time is known. */
    record WaitForRelease<C>() implements ConnectionAction<C> {}
}
