package org.plantainferry.engine.connection;

import org.plantainferry.api.Preconditions;

/**
 * Describes the next step for a request that needs a connection.
 *
 * @param <C> the type of the connections
 * @since 0.1
 */
public sealed interface ConnectionAction<C> {
    /**
     * Uses an idle connection, which now counts as in use.
     *
     * @param connection the connection to use
     */
    record Use<C>(C connection) implements ConnectionAction<C> {
        /** Validates the component. */
        public Use {
            Preconditions.notNull(connection, "connection");
        }
    }

    /** Opens a connection, which now counts as opening; the caller reports the result. */
    record Open<C>() implements ConnectionAction<C> {}

    /**
     * Waits until the given time, or until a connection is released or opened, then requests a
     * connection again.
     *
     * @param nanos the monotonic time of the next request for a connection
     */
    record WaitUntil<C>(long nanos) implements ConnectionAction<C> {}

    /**
     * Waits without a time limit until a connection is released, opened or closed, then requests a
     * connection again.
     */
    record WaitForRelease<C>() implements ConnectionAction<C> {}
}
