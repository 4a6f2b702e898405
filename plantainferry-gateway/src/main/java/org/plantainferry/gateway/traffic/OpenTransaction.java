package org.plantainferry.gateway.traffic;

import java.util.function.Consumer;
import org.plantainferry.gateway.statement.SessionMode;

/**
 * Represents the transaction of a session, which acquires what it needs for its first statement.
 */
interface OpenTransaction extends RunningStatement {
    OperationContext context();

    boolean isEnded();

    /** Runs a read or a write. The callback runs once. */
    void run(String requestId, PreparedStatement statement, Consumer<OperationResult> callback);

    /** Commits the transaction. The callback runs once. */
    void commit(String requestId, Consumer<OperationResult> callback);

    /** Rolls back the transaction. A second call does nothing. */
    void rollBack();

    /** Returns the session mode while this transaction is the current one of the session. */
    default SessionMode mode() {
        return isEnded() ? SessionMode.FAILED_TRANSACTION : SessionMode.TRANSACTION;
    }
}
