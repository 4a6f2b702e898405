package org.plantainferry.gateway.traffic;

import java.util.List;
import java.util.Optional;
import org.plantainferry.gateway.statement.ServerMessage;
import org.plantainferry.gateway.statement.SessionMode;
import org.plantainferry.gateway.statement.Statement;

/**
 * Checks whether an answer can belong to the statement that waits for it.
 *
 * <p>An answer has no request id, and a server may answer a statement twice. Therefore a signature
 * is accepted once on a connection, and an answer must have the form that its statement demands.
 * Together this proves a signed success: the answer with a new signature is the first one to its
 * statement. It proves neither a refusal, for which there is {@link RefusalConfirmation}, nor the
 * answer to a begin or a rollback before the next signed answer. It assumes that signatures differ
 * and that a server which loses an answer sends nothing more on the connection.
 *
 * <p>Holds the state of one connection. Not thread-safe.
 */
final class AnswerCheck {
    private final SignatureHistory mSignatures = new SignatureHistory();
    private SessionMode mMode = SessionMode.IDLE;

    /**
     * Checks an answer and records its signature and transaction state.
     *
     * @param statement the statement that waits for an answer
     * @param rows the rows of the answer
     * @param result how the statement ended
     * @param mode the transaction state after the answer
     * @return why the answer cannot belong to the statement; empty if it can
     */
    Optional<String> check(
            Statement statement, List<String> rows, ServerMessage result, SessionMode mode) {
        SessionMode modeBefore = mMode;
        mMode = mode;
        if (!rows.isEmpty() && !mayHaveRows(statement)) {
            return Optional.of("rows for a statement that has none");
        }
        if (result instanceof ServerMessage.Failed) {
            return checkModeOfFailure(statement, modeBefore, mode);
        }
        String signature = ((ServerMessage.Done) result).signature();
        if (isSigned(statement) && signature.isEmpty()) {
            return Optional.of("no signature for a statement that is signed");
        }
        if (!isSigned(statement) && !signature.isEmpty()) {
            return Optional.of("a signature for a statement that is not signed");
        }
        if (mode != modeAfter(statement, modeBefore)) {
            return Optional.of("the transaction state does not follow from the statement");
        }
        if (!signature.isEmpty() && !mSignatures.add(signature)) {
            return Optional.of("a signature that the connection has received before");
        }
        return Optional.empty();
    }

    private static Optional<String> checkModeOfFailure(
            Statement statement, SessionMode before, SessionMode after) {
        if (before == SessionMode.IDLE && after == SessionMode.TRANSACTION) {
            return Optional.of("a refusal that leaves a transaction open");
        }
        boolean hasEnded = before == SessionMode.TRANSACTION && after == SessionMode.IDLE;
        return hasEnded && !endsTransaction(statement)
                ? Optional.of("a refusal outside the transaction of its statement")
                : Optional.empty();
    }

    private static boolean endsTransaction(Statement statement) {
        return statement instanceof Statement.Commit || statement instanceof Statement.Rollback;
    }

    private static boolean isSigned(Statement statement) {
        return statement instanceof Statement.Read
                || statement instanceof Statement.Write
                || statement instanceof Statement.Execute
                || statement instanceof Statement.Commit;
    }

    private static boolean mayHaveRows(Statement statement) {
        boolean isExecutedRead =
                statement instanceof Statement.Execute execute && !execute.writes();
        return isExecutedRead
                || statement instanceof Statement.Read
                || statement instanceof Statement.Status
                || statement instanceof Statement.StepDown;
    }

    private static SessionMode modeAfter(Statement statement, SessionMode before) {
        if (statement instanceof Statement.Begin) {
            return SessionMode.TRANSACTION;
        }
        return endsTransaction(statement) ? SessionMode.IDLE : before;
    }

    /** Returns the transaction state after the last answer. */
    SessionMode mode() {
        return mMode;
    }

    /** Returns whether the connection has received as many signatures as it may remember. */
    boolean isFull() {
        return mSignatures.isFull();
    }
}
