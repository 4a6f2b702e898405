package org.plantainferry.gateway.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.plantainferry.gateway.statement.SessionMode;
import org.plantainferry.gateway.statement.Statement;

/**
 * Confirms that a refusal was the answer to the last statement on its connection.
 *
 * <p>A refusal has no signature, so a repeated one looks like the first. A transaction is therefore
 * begun and rolled back behind it: an answer of the refused statement that is still to come arrives
 * before the answers of these two, does not have their form, and ends the connection.
 */
final class RefusalConfirmation {
    private RefusalConfirmation() {}

    /**
     * Starts the confirmation; an open transaction is rolled back before. The callback runs once
     * and receives whether the refusal is confirmed; otherwise the connection is closed.
     */
    static void run(ServerConnection connection, Consumer<Boolean> callback) {
        List<Statement> statements = new ArrayList<>();
        if (connection.mode() != SessionMode.IDLE) {
            statements.add(new Statement.Rollback());
        }
        statements.add(new Statement.Begin(true));
        statements.add(new Statement.Rollback());
        StatementPipeline.run(
                connection, statements, confirmed -> onEnd(connection, confirmed, callback));
    }

    private static void onEnd(
            ServerConnection connection, boolean confirmed, Consumer<Boolean> callback) {
        if (confirmed) {
            connection.setRefusalConfirmed();
        } else {
            connection.close("the refusal was not confirmed");
        }
        callback.accept(confirmed);
    }
}
