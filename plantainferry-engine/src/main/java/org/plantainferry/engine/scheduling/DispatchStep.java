package org.plantainferry.engine.scheduling;

/**
 * Describes the next step for the statements that wait for a server.
 *
 * @param <T> the type of the statements
 * @since 0.4
 */
public sealed interface DispatchStep<T> {
    /**
     * Gives an idle connection of its workspace to a statement, which has left the queue.
     *
     * @param statement the statement
     */
    record Grant<T>(T statement) implements DispatchStep<T> {}

    /**
     * Opens a connection. It counts as being opened until {@link ServerDispatch#onOpened} or {@link
     * ServerDispatch#onOpeningFailed}.
     *
     * @param workspace the workspace to which the connection belongs
     */
    record Open<T>(String workspace) implements DispatchStep<T> {}
}
