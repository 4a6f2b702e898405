package org.plantainferry.gateway.traffic;

import java.util.Optional;
import java.util.function.Consumer;
import org.plantainferry.gateway.passing.AcceptedLink;
import org.plantainferry.gateway.statement.Statement;

/**
 * Represents an operation that another instance has passed to this one.
 *
 * <p>It runs like one of an own caller, which leaves when the other instance waits for no answer
 * any more. Not thread-safe: used by the traffic thread only.
 */
final class HostedOperation {
    private final AcceptedLink mLink;
    private final long mNumber;
    private final OperationContext mContext;
    private Optional<Transaction> mTransaction = Optional.empty();
    private Optional<SingleOperation> mSingle = Optional.empty();
    private boolean mRunning;

    HostedOperation(AcceptedLink link, long number, OperationContext context) {
        mLink = link;
        mNumber = number;
        mContext = context;
    }

    AcceptedLink link() {
        return mLink;
    }

    long number() {
        return mNumber;
    }

    OperationContext context() {
        return mContext;
    }

    boolean isRunning() {
        return mRunning;
    }

    boolean isTransaction() {
        return mTransaction.isPresent();
    }

    /** Returns whether nothing more can follow. */
    boolean isEnded() {
        return mTransaction.map(Transaction::isEnded).orElse(!mRunning);
    }

    /** Runs a read or write outside a transaction. */
    void runSingle(
            LocalRunner runner,
            String requestId,
            PreparedStatement statement,
            Consumer<OperationResult> callback) {
        mRunning = true;
        SingleOperation single =
                runner.create(mContext, requestId, statement, result -> finish(result, callback));
        mSingle = Optional.of(single);
        single.start();
    }

    void begin(LocalRunner runner, boolean readOnly) {
        mTransaction = Optional.of(runner.begin(mContext, readOnly, reason -> {}));
    }

    /** Runs a statement of the transaction. */
    void runInTransaction(
            String requestId, PreparedStatement statement, Consumer<OperationResult> callback) {
        mRunning = true;
        Transaction transaction = mTransaction.orElseThrow();
        if (statement.statement() instanceof Statement.Commit) {
            transaction.commit(requestId, result -> finish(result, callback));
        } else {
            transaction.run(requestId, statement, result -> finish(result, callback));
        }
    }

    private void finish(OperationResult result, Consumer<OperationResult> callback) {
        mRunning = false;
        callback.accept(result);
    }

    /** Rolls back a transaction, and ends a statement that was not sent. */
    void stop() {
        mTransaction.ifPresent(Transaction::rollBack);
        mSingle.ifPresent(SingleOperation::onCallerLeft);
    }

    /** Ends the statement in progress with a final result. */
    void abandon(String reason) {
        mTransaction.ifPresent(transaction -> transaction.abandon(reason));
        mSingle.ifPresent(single -> single.abandon(reason));
    }
}
