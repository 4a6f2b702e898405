package org.plantainferry.engine.sessionstate;

/**
 * Names one step that prepares a server connection for a statement.
 *
 * @since 0.2
 */
public sealed interface ConnectionSetupStep {
    /** Drops all values and prepared statements of the connection. */
    record Reset() implements ConnectionSetupStep {}

    /** Sets one value. */
    record SetValue(String name, String value) implements ConnectionSetupStep {}

    /** Prepares a statement under a name of this connection. */
    record Prepare(String name, PreparedStatementDefinition definition)
            implements ConnectionSetupStep {}
}
