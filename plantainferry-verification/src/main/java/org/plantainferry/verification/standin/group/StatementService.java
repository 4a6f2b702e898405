package org.plantainferry.verification.standin.group;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.StatementKind;
import org.plantainferry.verification.standin.group.GroupResponses.Busy;
import org.plantainferry.verification.standin.group.GroupResponses.Invalid;
import org.plantainferry.verification.standin.group.GroupResponses.Refusal;
import org.plantainferry.verification.standin.group.GroupResponses.Response;
import org.plantainferry.verification.standin.group.GroupResponses.Result;

/** Runs the statements and transactions of one server; its methods block. */
final class StatementService {
    /** Is what a step did, as of the moment at which it ran. */
    private record Outcome(Result result, boolean isConfirmationNeeded) {}

    /** Carries a refusal out of a section that holds the lock. */
    private static final class RefusedException extends RuntimeException {
        private static final long serialVersionUID = 1L;
        private final transient Response mResponse;

        RefusedException(Response answer) {
            super(null, null, false, false);
            mResponse = answer;
        }
    }

    private interface Operation {
        Outcome run() throws Statement.BadStatementException;
    }

    private final ServerContext mContext;
    private final DatabaseServer mServer;
    private final DatabaseGroup mGroup;

    StatementService(ServerContext context) {
        mContext = context;
        mServer = context.server();
        mGroup = context.group();
    }

    Response statement(GroupRequests.Statement request, Optional<Transaction> transaction)
            throws InterruptedException {
        Statement statement;
        try {
            statement = Statement.parse(request.statement());
        } catch (Statement.BadStatementException e) {
            return new Response(400, Invalid.statement(e.getMessage()));
        }
        boolean isRead = request.kind() == StatementKind.READ;
        if (isRead && !statement.isRead()) {
            return new Response(400, Invalid.statement("not a read: " + statement.text()));
        }
        if (transaction.isPresent()) {
            return run(
                    statement.sleepMillis(),
                    () -> executeInTransaction(statement, transaction.get()));
        }
        if (mContext.refuseNewWorkIfLeaving()) {
            return refusal(409, "leaving");
        }
        return isRead
                ? run(statement.sleepMillis(), () -> read(statement, request))
                : run(statement.sleepMillis(), () -> write(statement, request));
    }

    /** Begins a transaction, or answers why not. */
    Response begin(GroupRequests.Begin request) {
        if (mContext.refuseNewWorkIfLeaving()) {
            return refusal(409, "leaving");
        }
        return mGroup.readLocked(
                () -> {
                    try {
                        checkPrimary(request.term());
                        return new Response(
                                200, result(Optional.of("OK"), mServer.confirmedPosition()));
                    } catch (RefusedException e) {
                        return e.mResponse;
                    }
                });
    }

    Response commit(GroupRequests.Commit request, Optional<Transaction> transaction)
            throws InterruptedException {
        return run(0, () -> applyCommit(request, transaction));
    }

    Response rollback() {
        return mGroup.readLocked(
                () -> new Response(200, result(Optional.of("OK"), mServer.confirmedPosition())));
    }

    private Response run(long sleepMillis, Operation step) throws InterruptedException {
        if (!mContext.slots().acquire()) {
            return new Response(503, new Busy("busy"));
        }
        Outcome outcome;
        try {
            TimeUnit.MILLISECONDS.sleep(mContext.serviceMillis() + sleepMillis);
            mContext.awaitNotFrozen();
            outcome = mGroup.updateLocked(() -> runLocked(step));
        } catch (RefusedException e) {
            return e.mResponse;
        } finally {
            mContext.slots().release();
        }
        Result result = outcome.result();
        if (outcome.isConfirmationNeeded() && !awaitConfirmed(result.position(), result.term())) {
            return refusal(504, "unconfirmed");
        }
        return new Response(200, result);
    }

    private static Outcome runLocked(Operation step) {
        try {
            return step.run();
        } catch (Statement.BadStatementException e) {
            throw new RefusedException(new Response(400, Invalid.statement(e.getMessage())));
        }
    }

    /** Waits until a position is confirmed while the server stays in the same term. */
    private boolean awaitConfirmed(long position, long term) throws InterruptedException {
        boolean[] isConfirmed = new boolean[1];
        mGroup.await(
                () -> {
                    boolean isSameTerm = mServer.term() == term;
                    isConfirmed[0] = isSameTerm && mServer.confirmedPosition() >= position;
                    return isConfirmed[0] || !isSameTerm || !mServer.isPrimary();
                },
                TimeUnit.MILLISECONDS.toNanos(mContext.confirmTimeoutMillis()));
        return isConfirmed[0];
    }

    private Outcome read(Statement statement, GroupRequests.Statement request)
            throws Statement.BadStatementException {
        if (request.term().isPresent() && request.term().get() > mServer.term()) {
            throw refusedException("stale_term");
        }
        long position = mServer.log().appliedPosition();
        if (position < request.minimumPosition().orElse(0L)) {
            throw refusedException("behind");
        }
        boolean isConfirmed = position <= mServer.confirmedPosition();
        return new Outcome(result(statement.execute(mServer.log()), position), !isConfirmed);
    }

    private Outcome write(Statement statement, GroupRequests.Statement request)
            throws Statement.BadStatementException {
        checkPrimary(request.term());
        Optional<LogEntry> earlier = request.requestId().flatMap(mServer.log()::entryForRequest);
        if (earlier.isPresent()) {
            return outcome(earlier.get());
        }
        if (mServer.log().position() < request.minimumPosition().orElse(0L)) {
            throw refusedException("behind");
        }
        // A trial on a transaction's copy: a statement that fails must leave no entry.
        Optional<String> result = new Transaction(0).execute(statement, mServer.log());
        return append(request.requestId(), List.of(statement.text()), statement.text(), result);
    }

    private Outcome executeInTransaction(Statement statement, Transaction transaction)
            throws Statement.BadStatementException {
        checkPrimary(Optional.of(transaction.term()));
        Optional<String> result = transaction.execute(statement, mServer.log());
        long position = statement.isRead() ? mServer.log().position() : mServer.confirmedPosition();
        return new Outcome(result(result, position), true);
    }

    private Outcome applyCommit(GroupRequests.Commit request, Optional<Transaction> transaction)
            throws Statement.BadStatementException {
        checkPrimary(request.term().or(() -> transaction.map(Transaction::term)));
        Optional<LogEntry> earlier = request.requestId().flatMap(mServer.log()::entryForRequest);
        if (earlier.isPresent()) {
            return outcome(earlier.get());
        }
        if (transaction.isEmpty()) {
            throw new Statement.BadStatementException("no transaction on this connection");
        }
        checkPrimary(Optional.of(transaction.get().term()));
        List<String> writes = transaction.get().writes();
        if (writes.isEmpty() && request.requestId().isEmpty()) {
            return new Outcome(result(Optional.of("OK"), mServer.log().position()), true);
        }
        Transaction trial = new Transaction(0);
        for (String write : writes) {
            trial.execute(Statement.parse(write), mServer.log());
        }
        return append(request.requestId(), writes, String.join("; ", writes), Optional.of("OK"));
    }

    private Outcome append(
            Optional<String> requestId,
            List<String> statements,
            String text,
            Optional<String> result) {
        return outcome(mServer.append(requestId, statements, text, result, System.nanoTime()));
    }

    private Outcome outcome(LogEntry entry) {
        return new Outcome(result(entry.result(), entry.position()), true);
    }

    private void checkPrimary(Optional<Long> term) {
        if (term.isEmpty() || term.get() != mServer.term()) {
            throw refusedException("stale_term");
        }
        if (!mServer.isPrimary()) {
            throw refusedException("not_primary");
        }
    }

    private RefusedException refusedException(String error) {
        return new RefusedException(refusal(409, error));
    }

    private Response refusal(int status, String error) {
        return mGroup.readLocked(
                () ->
                        new Response(
                                status,
                                new Refusal(error, mServer.term(), mServer.confirmedPosition())));
    }

    private Result result(Optional<String> result, long position) {
        return new Result(
                result,
                mServer.term(),
                position,
                mGroup.lagMillis(mServer),
                mServer.role().wireName());
    }
}
