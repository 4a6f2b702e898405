package org.plantainferry.engine.sessionstate;

/**
 * Names one step that prepares a server connection for a statement.
 *
 * @since 0.2
 */
public sealed interface ConnectionStep {
    /** Drops all values and prepared statements of the connection. */
    record Reset() implements ConnectionStep {}

    /** Sets one value. */
    record SetValue(String name, String value) implements ConnectionStep {}

    /** Prepares a statement under a name of this connection. */
    record Prepare(String name, PreparedShape shape) implements ConnectionStep {}
}
