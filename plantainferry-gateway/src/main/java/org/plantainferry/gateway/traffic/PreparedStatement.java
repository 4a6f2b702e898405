package org.plantainferry.gateway.traffic;

import java.util.Optional;
import org.plantainferry.engine.sessionstate.PreparedStatementDefinition;
import org.plantainferry.engine.sessionstate.SessionState;
import org.plantainferry.gateway.statement.Statement;

/**
 * Pairs a statement that reads or writes with the prepared statement that it executes, if any.
 *
 * @param statement a read, a write, or the execution of a prepared statement
 * @param definition the prepared statement; empty unless the statement is an execution
 * @param writes whether it changes data
 */
record PreparedStatement(
        Statement statement, Optional<PreparedStatementDefinition> definition, boolean writes) {
    /**
     * Finds what a statement executes; empty if it neither reads nor writes, or names a prepared
     * statement that the session does not have.
     */
    static Optional<PreparedStatement> resolve(Statement statement, SessionState session) {
        if (statement instanceof Statement.Read) {
            return Optional.of(new PreparedStatement(statement, Optional.empty(), false));
        }
        if (statement instanceof Statement.Write) {
            return Optional.of(new PreparedStatement(statement, Optional.empty(), true));
        }
        if (statement instanceof Statement.Execute execute) {
            return session.preparedStatement(execute.name())
                    .map(
                            definition ->
                                    new PreparedStatement(
                                            statement,
                                            Optional.of(definition),
                                            definition.writes()));
        }
        return Optional.empty();
    }

    /**
     * Returns the statement with the name under which a connection knows the prepared statement.
     */
    Statement on(ServerConnection connection) {
        if (definition.isEmpty() || !(statement instanceof Statement.Execute execute)) {
            return statement;
        }
        String name = connection.state().preparedName(definition.get()).orElse(execute.name());
        return new Statement.Execute(name, execute.arguments(), writes);
    }
}
