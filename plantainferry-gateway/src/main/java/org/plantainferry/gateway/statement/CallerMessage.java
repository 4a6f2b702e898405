package org.plantainferry.gateway.statement;

/**
 * Describes one message of a caller.
 *
 * @since 0.2
 */
public sealed interface CallerMessage {
    /** Opens the session. */
    record Open(String database, String key) implements CallerMessage {}

    /** Requests the execution of one statement. */
    record Request(String id, Statement statement) implements CallerMessage {}

    /** Ends the session. */
    record Quit() implements CallerMessage {}

    /** Represents a line that cannot be parsed. */
    record Unreadable() implements CallerMessage {}
}
