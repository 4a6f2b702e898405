package org.plantainferry.gateway.traffic;

import java.util.Optional;
import org.plantainferry.engine.sessionstate.PreparedShape;
import org.plantainferry.gateway.statement.Statement;

/**
 * Pairs a statement that reads or writes with the prepared statement that it executes, if any.
 *
 * @param statement a read, a write, or the execution of a prepared statement
 * @param shape the prepared statement; empty unless the statement is an execution
 * @param writes whether it changes data
 */
record PreparedStatement(Statement statement, Optional<PreparedShape> shape, boolean writes) {
    /**
     * Returns the statement with the name under which a connection knows the prepared statement.
     */
    Statement on(ServerConnection connection) {
        if (shape.isEmpty() || !(statement instanceof Statement.Execute execute)) {
            return statement;
        }
        String name = connection.sessionContents().nameOf(shape.get()).orElse(execute.name());
        return new Statement.Execute(name, execute.arguments());
    }
}
