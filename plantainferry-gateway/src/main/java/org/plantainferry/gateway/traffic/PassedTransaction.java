package org.plantainferry.gateway.traffic;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.passing.HostLink;
import org.plantainferry.gateway.passing.PassedOperationListener;
import org.plantainferry.gateway.peer.generated.PassedAnswer;
import org.plantainferry.gateway.peer.generated.PassedOperation;
import org.plantainferry.gateway.peer.generated.PassedStep;
import org.plantainferry.gateway.statement.FailureCode;
import org.plantainferry.gateway.statement.Statement;

/**
 * Passes the statements of one transaction to a host.
 *
 * <p>The host is chosen for the first statement and stays the same. A host that is lost before the
 * commit was passed has rolled back or does so, because it treats the loss of the link like that of
 * a caller. If no host takes the first statement, the transaction runs on a connection of this
 * instance. Not thread-safe: used by the traffic thread only.
 */
final class PassedTransaction implements OpenTransaction, PassedOperationListener {
    private final ConnectionBroker mBroker;
    private final Supplier<Optional<HostLink>> mHosts;
    private final Supplier<Transaction> mLocalFactory;
    private final OperationContext mContext;
    private final boolean mReadOnly;
    private final Consumer<String> mEndListener;
    private Optional<Transaction> mLocal = Optional.empty();
    private Optional<HostLink> mLink = Optional.empty();
    private Optional<PendingStatement> mPending = Optional.empty();
    private long mNumber;
    private boolean mHasRun;
    private boolean mHasWritten;
    private boolean mEnded;

    /** Holds the statement in progress. */
    private record PendingStatement(
            String requestId,
            PreparedStatement statement,
            Consumer<OperationResult> callback,
            long startedNanos,
            ScheduledFuture<?> deadlineTimer) {
        boolean isCommit() {
            return statement.statement() instanceof Statement.Commit;
        }
    }

    /**
     * Creates the transaction.
     *
     * @param hosts chooses the host; supplies nothing if none takes operations
     * @param localFactory begins the transaction on a connection of this instance
     * @param endListener called with the reason when the transaction is lost while it has no
     *     statement in progress
     */
    PassedTransaction(
            ConnectionBroker broker,
            Supplier<Optional<HostLink>> hosts,
            Supplier<Transaction> localFactory,
            OperationContext context,
            boolean readOnly,
            Consumer<String> endListener) {
        mBroker = broker;
        mHosts = hosts;
        mLocalFactory = localFactory;
        mContext = context;
        mReadOnly = readOnly;
        mEndListener = endListener;
    }

    @Override
    public OperationContext context() {
        return mContext;
    }

    @Override
    public boolean isEnded() {
        return mLocal.map(Transaction::isEnded).orElse(mEnded);
    }

    @Override
    public void run(
            String requestId, PreparedStatement statement, Consumer<OperationResult> callback) {
        mHasWritten |= statement.writes();
        start(requestId, statement, callback);
    }

    @Override
    public void commit(String requestId, Consumer<OperationResult> callback) {
        start(
                requestId,
                new PreparedStatement(new Statement.Commit(), Optional.empty(), false),
                callback);
    }

    private void start(
            String requestId, PreparedStatement statement, Consumer<OperationResult> callback) {
        boolean isFirst = mLink.isEmpty() && mLocal.isEmpty();
        if (isFirst) {
            mLink = mHosts.get();
        }
        if (mLink.isEmpty()) {
            runHere(requestId, statement, callback);
            return;
        }
        long now = mBroker.now();
        ScheduledFuture<?> timer =
                mBroker.schedule(
                        mContext.route().statementTimeoutMillis(),
                        () -> end("the host did not answer in time"));
        mPending = Optional.of(new PendingStatement(requestId, statement, callback, now, timer));
        PassedStep step = PassingCodec.step(mContext, requestId, statement);
        if (!HostLink.fits(step.getSerializedSize())) {
            refuseToPass(isFirst);
        } else if (isFirst) {
            PassedOperation operation =
                    PassingCodec.operation(mContext, now)
                            .setTransaction(true)
                            .setReadOnly(mReadOnly)
                            .setStep(step)
                            .build();
            mNumber = mLink.get().start(operation, this);
        } else {
            mLink.get().step(mNumber, step);
        }
    }

    private void refuseToPass(boolean isFirst) {
        if (isFirst) {
            onRefusal("the statement is too long to be passed on");
        } else {
            end("the statement is too long to be passed on");
        }
    }

    private void runHere(
            String requestId, PreparedStatement statement, Consumer<OperationResult> callback) {
        mLink = Optional.empty();
        Transaction local = mLocal.orElseGet(mLocalFactory);
        mLocal = Optional.of(local);
        if (statement.statement() instanceof Statement.Commit) {
            local.commit(requestId, callback);
        } else {
            local.run(requestId, statement, callback);
        }
    }

    /** Takes the statement in progress, which is about to get its result. */
    private Optional<PendingStatement> takePending() {
        Optional<PendingStatement> pending = mPending;
        mPending = Optional.empty();
        pending.ifPresent(statement -> statement.deadlineTimer().cancel(false));
        return pending;
    }

    @Override
    public void onAnswer(PassedAnswer answer) {
        PassingCodec.position(answer)
                .ifPresent(
                        position ->
                                mContext.positions().record(mContext.route().service(), position));
        mHasRun = true;
        mEnded |= answer.getEnded();
        takePending()
                .ifPresent(
                        pending ->
                                pending.callback()
                                        .accept(
                                                PassingCodec.result(
                                                        answer,
                                                        pending.isCommit() && mHasWritten)));
    }

    @Override
    public void onRefusal(String reason) {
        Optional<PendingStatement> pending = takePending();
        if (pending.isEmpty()) {
            endWithoutStatement(reason);
            return;
        }
        if (mHasRun) {
            fail(pending.get(), FailureCode.ABORTED, reason);
            return;
        }
        GatewayEvent.REQUEST_RETRIED.log(
                pending.get().requestId(), mLink.orElseThrow().host(), 1, reason);
        runHere(pending.get().requestId(), pending.get().statement(), pending.get().callback());
    }

    @Override
    public void onSilence() {
        // Only the host can go on with the transaction; the deadline ends the wait.
    }

    @Override
    public void onLost() {
        Optional<PendingStatement> pending = takePending();
        if (pending.isPresent()) {
            failUnanswered(pending.get(), "the host of the transaction is lost");
        } else {
            endWithoutStatement("the host of the transaction is lost");
        }
    }

    private void endWithoutStatement(String reason) {
        if (!mEnded) {
            // The session calls rollBack, which marks the end.
            mEndListener.accept(reason);
            mEnded = true;
        }
    }

    private void failUnanswered(PendingStatement pending, String reason) {
        boolean mayBeCommitted = pending.isCommit() && mHasWritten;
        fail(pending, mayBeCommitted ? FailureCode.OUTCOME_UNKNOWN : FailureCode.ABORTED, reason);
    }

    private void fail(PendingStatement pending, FailureCode code, String reason) {
        mEnded = true;
        GatewayEvent.REQUEST_FAILED.log(
                pending.requestId(),
                mLink.orElseThrow().host(),
                code.guaranteesNoEffect() ? "nothing-kept" : "may-have-run",
                code,
                reason,
                TimeUnit.NANOSECONDS.toMillis(mBroker.now() - pending.startedNanos()));
        pending.callback().accept(new OperationResult.Failed(code, reason));
    }

    @Override
    public void rollBack() {
        if (mLocal.isPresent()) {
            mLocal.get().rollBack();
            return;
        }
        takePending();
        if (!mEnded) {
            mEnded = true;
            mLink.ifPresent(link -> link.end(mNumber, "rolled back"));
        }
    }

    @Override
    public void abandon(String reason) {
        if (mLocal.isPresent()) {
            mLocal.get().abandon(reason);
        } else {
            end(reason);
        }
    }

    /** Ends the transaction with a statement that has no answer. */
    private void end(String reason) {
        takePending()
                .ifPresent(
                        pending -> {
                            mLink.orElseThrow().end(mNumber, reason);
                            failUnanswered(pending, reason);
                        });
    }
}
