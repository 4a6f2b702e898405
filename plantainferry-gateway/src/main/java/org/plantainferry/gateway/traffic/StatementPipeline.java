package org.plantainferry.gateway.traffic;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.plantainferry.gateway.statement.Statement;

/**
 * Sends statements of the gateway itself over one connection, without waiting for one answer before
 * the next statement.
 *
 * <p>None of them may need an execution slot, so that the server answers at once. The connection is
 * closed when an answer is missing after the time limit.
 */
final class StatementPipeline {
    /** The time limit of statements of the gateway itself, in milliseconds. */
    static final long TIMEOUT_MILLIS = 2_000;

    private final Consumer<Boolean> mCallback;
    private final ScheduledFuture<?> mTimeout;
    private int mUnansweredStatements;
    private boolean mFailed;

    private StatementPipeline(
            ServerConnection connection, int statements, Consumer<Boolean> callback) {
        mUnansweredStatements = statements;
        mCallback = callback;
        mTimeout =
                connection.closeAfter(
                        TIMEOUT_MILLIS, "a statement of the gateway itself has no answer");
    }

    /**
     * Sends the statements, of which there must be at least one. The callback runs once and
     * receives whether all of them succeeded.
     */
    static void run(
            ServerConnection connection, List<Statement> statements, Consumer<Boolean> callback) {
        StatementPipeline pipeline = new StatementPipeline(connection, statements.size(), callback);
        for (Statement statement : statements) {
            connection.send(Optional.empty(), Optional.empty(), statement, pipeline::onReply);
        }
    }

    private void onReply(ServerReply reply) {
        mUnansweredStatements--;
        mFailed |= !reply.isDone();
        if (mUnansweredStatements == 0) {
            mTimeout.cancel(false);
            mCallback.accept(!mFailed);
        }
    }
}
