package org.plantainferry.gateway.traffic;

import java.util.List;
import java.util.Optional;
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
    private int mUnconfirmedSteps;
    private boolean mFailed;
    private final Consumer<Boolean> mDone;

    private ConnectionSetup(int steps, Consumer<Boolean> done) {
        mUnconfirmedSteps = steps;
        mDone = done;
    }

    /**
     * Sends the steps, of which there must be at least one. The callback runs once and receives
     * whether all of them were confirmed.
     */
    static void run(
            ServerConnection connection, List<ConnectionSetupStep> steps, Consumer<Boolean> done) {
        ConnectionSetup preparation = new ConnectionSetup(steps.size(), done);
        for (ConnectionSetupStep step : steps) {
            connection.send(
                    Optional.empty(), Optional.empty(), statement(step), preparation::onReply);
        }
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

    private void onReply(ServerReply reply) {
        mUnconfirmedSteps--;
        mFailed |= !reply.isDone();
        if (mUnconfirmedSteps == 0) {
            mDone.accept(!mFailed);
        }
    }
}
