package org.plantainferry.gateway.traffic;

import java.util.Optional;
import org.plantainferry.engine.sessionstate.PreparedStatementDefinition;
import org.plantainferry.gateway.statement.Statement;

/**
 * Joins a statement that reads or writes with the prepared statement that it names.
 *
 * @param statement a read, a write, or the execution of a prepared statement
 * @param definition the prepared statement, for an execution
 * @param writes whether it changes data
 */
record PreparedStatement(
        Statement statement, Optional<PreparedStatementDefinition> definition, boolean writes) {
    /** Returns the statement with the name that the prepared statement has on a connection. */
    Statement on(ServerConnection link) {
        if (definition.isEmpty() || !(statement instanceof Statement.Execute execute)) {
            return statement;
        }
        String name = link.state().preparedName(definition.get()).orElse(execute.name());
        return new Statement.Execute(name, execute.arguments());
    }
}
