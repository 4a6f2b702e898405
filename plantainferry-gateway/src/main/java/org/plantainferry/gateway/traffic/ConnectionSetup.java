package org.plantainferry.gateway.traffic;

import java.util.List;
import java.util.function.Consumer;
import org.plantainferry.engine.sessionstate.ConnectionSetupStep;
import org.plantainferry.gateway.statement.Statement;

/**
 * Sends the steps that bring a server connection into the state of a caller session.
 *
 * <p>All steps are pipelined. The statement is sent only after all of them are confirmed, so that
 * it never runs with the values of another session.
 */
final class ConnectionSetup {
    private ConnectionSetup() {}

    /**
     * Sends the steps, of which there must be at least one. The callback runs once and receives
     * whether all of them were confirmed.
     */
    static void run(
            ServerConnection connection, List<ConnectionSetupStep> steps, Consumer<Boolean> done) {
        List<Statement> statements = steps.stream().map(ConnectionSetup::statement).toList();
        StatementPipeline.run(connection, statements, done);
    }

    private static Statement statement(ConnectionSetupStep step) {
        if (step instanceof ConnectionSetupStep.SetValue set) {
            return new Statement.SetValue(set.name(), set.value());
        }
        if (step instanceof ConnectionSetupStep.Prepare prepare) {
            return new Statement.Prepare(
                    prepare.name(), prepare.definition().writes(), prepare.definition().text());
        }
        return new Statement.Reset();
    }
}
