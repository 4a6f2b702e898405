package org.plantainferry.engine.sessionstate;

/**
 * Describes a step that prepares a server connection for a statement of a session.
 *
 * @since 0.2
 */
public sealed interface ConnectionSetupStep {
    /** Removes all session variables and prepared statements from the connection. */
    record Reset() implements ConnectionSetupStep {}

    /** Sets a session variable. */
    record SetValue(String name, String value) implements ConnectionSetupStep {}

    /** Prepares a statement under a name that is unique on the connection. */
    record Prepare(String name, PreparedStatementDefinition definition)
            implements ConnectionSetupStep {}
}
