package org.plantainferry.gateway.statement;

/**
 * Describes one message of a caller.
 *
 * @since 0.2
 */
public sealed interface CallerMessage {
    /** Opens the session. */
    record Open(String database, String key) implements CallerMessage {}

    /** Asks for one statement. */
    record Request(String id, Statement statement) implements CallerMessage {}

    /** Ends the session. */
    record Quit() implements CallerMessage {}

    /** Stands for a line that is not understood. */
    record Unreadable() implements CallerMessage {}
}
