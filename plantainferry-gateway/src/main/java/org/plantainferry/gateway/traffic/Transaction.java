package org.plantainferry.gateway.traffic;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.plantainferry.api.StatementKind;
import org.plantainferry.api.Verdict;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.engine.catalog.ReadGuarantee;
import org.plantainferry.engine.retry.FailedAttempt;
import org.plantainferry.engine.retry.RetryDecision;
import org.plantainferry.engine.sessionstate.ConnectionSetupStep;
import org.plantainferry.engine.sessionstate.PreparedStatementDefinition;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.statement.FailureCode;
import org.plantainferry.gateway.statement.Statement;

/**
 * Runs the statements of one transaction on one server connection.
 *
 * <p>The connection is acquired for the first statement. When it is lost before the commit is sent,
 * the server rolls back, so the caller is told that nothing is kept. Not thread-safe: used by the
 * traffic thread only.
 */
final class Transaction implements OpenTransaction {
    private static final int MAX_ATTEMPTS = 4;

    private final ConnectionBroker mBroker;
    private final OperationContext mContext;
    private final ConnectionPurpose mPurpose;
    private final Set<String> mExcluded = new HashSet<>();
    private Optional<PreparedConnection> mConnection = Optional.empty();
    private Optional<ConnectionAcquisition> mAcquisition = Optional.empty();
    private int mAttempts;
    private boolean mHasRun;
    private boolean mHasWritten;
    private boolean mEnded;
    private Optional<PendingStatement> mPending = Optional.empty();
    private long mStatementStartNanos;

    Transaction(ConnectionBroker broker, OperationContext context, boolean readOnly) {
        mBroker = broker;
        mContext = context;
        boolean mayUseReplica = readOnly && context.route().guarantee() != ReadGuarantee.PRIMARY;
        mPurpose =
                mayUseReplica ? ConnectionPurpose.READ_TRANSACTION : ConnectionPurpose.TRANSACTION;
    }

    @Override
    public OperationContext context() {
        return mContext;
    }

    @Override
    public boolean isEnded() {
        return mEnded;
    }

    @Override
    public void run(
            String requestId, PreparedStatement statement, Consumer<OperationResult> callback) {
        PendingStatement pending = new PendingStatement(requestId, statement, callback);
        mHasWritten |= statement.writes();
        start(pending);
    }

    @Override
    public void commit(String requestId, Consumer<OperationResult> callback) {
        PreparedStatement commit =
                new PreparedStatement(new Statement.Commit(), Optional.empty(), false);
        start(new PendingStatement(requestId, commit, callback));
    }

    /**
     * Rolls back the transaction. A connection with a statement in progress is closed instead;
     * without a connection the transaction just ends. A second call does nothing.
     */
    @Override
    public void rollBack() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mAcquisition.ifPresent(ConnectionAcquisition::cancel);
        mConnection.ifPresent(
                prepared -> {
                    if (prepared.connection().hasPendingStatements()) {
                        prepared.connection().close("the transaction was ended during a statement");
                    } else {
                        ConnectionAcquisition.rollBackAndRelease(prepared, rolledBack -> {});
                    }
                });
        mConnection = Optional.empty();
    }

    /** Holds one statement in progress. */
    private static final class PendingStatement {
        private final String mRequestId;
        private final PreparedStatement mStatement;
        private final Consumer<OperationResult> mCallback;
        private ScheduledFuture<?> mDeadlineTimer;
        private boolean mFinished;
        private boolean mSent;

        PendingStatement(
                String requestId, PreparedStatement statement, Consumer<OperationResult> callback) {
            mRequestId = requestId;
            mStatement = statement;
            mCallback = callback;
        }

        boolean isCommit() {
            return mStatement.statement() instanceof Statement.Commit;
        }

        void finish(OperationResult result) {
            if (!mFinished) {
                mFinished = true;
                mDeadlineTimer.cancel(false);
                mCallback.accept(result);
            }
        }
    }

    private void start(PendingStatement pending) {
        mPending = Optional.of(pending);
        mStatementStartNanos = mBroker.now();
        pending.mDeadlineTimer =
                mBroker.schedule(
                        mContext.route().statementTimeoutMillis(), () -> onDeadline(pending));
        if (mConnection.isEmpty()) {
            group().secondAttempts().onFirstAttempt(mStatementStartNanos);
            acquire(pending);
            return;
        }
        prepare(pending, mConnection.get());
    }

    private void acquire(PendingStatement pending) {
        mAttempts++;
        long placementDeadline =
                StatementTimeouts.placementDeadline(mContext.route(), mStatementStartNanos);
        ConnectionRequest request =
                new ConnectionRequest(
                        pending.mRequestId,
                        mContext.workspace(),
                        mContext.route(),
                        mPurpose,
                        mContext.workKind(pending.mStatement),
                        mContext.sessionState(),
                        pending.mStatement.definition(),
                        mContext.positions().of(mContext.route().service()),
                        mStatementStartNanos,
                        mContext.urgency(placementDeadline),
                        placementDeadline,
                        false);
        mAcquisition =
                Optional.of(
                        mBroker.acquire(request, mExcluded, result -> onAcquired(pending, result)));
    }

    private void onAcquired(PendingStatement pending, PreparedConnectionResult result) {
        if (mEnded || pending.mFinished) {
            result.connection()
                    .ifPresent(
                            prepared ->
                                    ConnectionAcquisition.rollBackAndRelease(
                                            prepared, rolledBack -> {}));
            return;
        }
        if (result.connection().isEmpty()) {
            mEnded = true;
            mContext.recordRefused(group().loadMetrics(), pending.mRequestId, result.reason());
            pending.finish(
                    OperationResult.Failed.notRun(result.reason(), result.retryAfterMillis()));
            return;
        }
        mConnection = result.connection();
        if (mAttempts == 1) {
            mContext.recordSent(
                    group().loadMetrics(),
                    pending.mRequestId,
                    mConnection.get(),
                    mBroker.now() - mStatementStartNanos);
        }
        send(pending, mConnection.get());
    }

    /**
     * Applies session values and prepared statements that the caller has changed since the last
     * statement.
     */
    private void prepare(PendingStatement pending, PreparedConnection prepared) {
        Optional<PreparedStatementDefinition> requiredDefinition = pending.mStatement.definition();
        List<ConnectionSetupStep> steps =
                prepared.connection()
                        .state()
                        .planSetup(mContext.sessionState(), requiredDefinition);
        if (steps.isEmpty()) {
            send(pending, prepared);
            return;
        }
        ConnectionSetup.run(
                prepared.connection(),
                steps,
                succeeded -> {
                    if (!succeeded) {
                        abort(pending, "the connection could not be prepared");
                    } else if (!mEnded && !pending.mFinished) {
                        send(pending, prepared);
                    }
                });
    }

    private void send(PendingStatement pending, PreparedConnection prepared) {
        if (pending.isCommit() && !prepared.connection().isOpen()) {
            // The server has rolled back, as it never received the commit.
            prepared.pool().health().onFailure(mBroker.now());
            endWithFailure(
                    pending,
                    prepared,
                    FailureCode.ABORTED,
                    "the connection of the transaction was closed before its commit");
            return;
        }
        pending.mSent = true;
        long sent = mBroker.now();
        prepared.pool().onStatementSent(mContext.workKind(pending.mStatement), sent);
        mBroker.send(
                prepared,
                mPurpose,
                Optional.of(pending.mRequestId),
                requiredPosition(pending, prepared),
                pending.mStatement.on(prepared.connection()),
                reply -> onReply(pending, prepared, sent, reply));
    }

    /**
     * Returns the position that the first read must observe. The begin has required it already, but
     * its answer may be a repeated one, and its own a refusal.
     */
    private Optional<LogPosition> requiredPosition(
            PendingStatement pending, PreparedConnection prepared) {
        boolean isRead = !pending.isCommit() && !pending.mStatement.writes();
        return isRead && !mHasRun ? prepared.requiredPosition() : Optional.empty();
    }

    private void onReply(
            PendingStatement pending,
            PreparedConnection prepared,
            long sentNanos,
            ServerReply reply) {
        long now = mBroker.now();
        prepared.pool()
                .onStatementEnded(mContext.workKind(pending.mStatement), reply, now - sentNanos);
        group().secondAttempts().onAnswer(reply.isOverload(), now);
        if (mEnded || pending.mFinished) {
            return;
        }
        if (reply.isDone()) {
            prepared.pool().health().onAnswer(now, now - sentNanos);
            if (!mHasRun) {
                mBroker.recordPositionAtBegin(prepared);
            }
            mHasRun = true;
            onDone(pending, prepared, sentNanos, reply);
            return;
        }
        ConnectionAcquisition.recordFailure(prepared.pool(), reply, now);
        boolean mayMove = !mHasRun && !pending.isCommit() && reply.isNotRun();
        if (!mayMove) {
            onFailure(pending, prepared, reply);
            return;
        }
        // Nothing has run yet, so the transaction can restart on another server.
        RetryDecision decision = decide(pending, reply, now);
        if (decision instanceof RetryDecision.Retry retry) {
            confirmAndRetry(pending, prepared, reply, retry);
            return;
        }
        giveUp(pending, prepared, reply, (RetryDecision.GiveUp) decision);
    }

    private RetryDecision decide(PendingStatement pending, ServerReply reply, long now) {
        FailedAttempt attempt =
                new FailedAttempt(
                        reply.failureCause(),
                        Verdict.NOT_RUN,
                        pending.mStatement.writes() ? StatementKind.WRITE : StatementKind.READ,
                        false,
                        false,
                        mAttempts,
                        StatementTimeouts.deadline(mContext.route(), mStatementStartNanos));
        GroupRoom room =
                new GroupRoom(group(), mContext.workspace(), mContext.workKind(pending.mStatement));
        return group().secondAttempts()
                .decide(
                        attempt,
                        MAX_ATTEMPTS,
                        room.forRetry(mPurpose, mExcluded, now),
                        now,
                        mBroker.random());
    }

    /** Reports a refusal after which the transaction is not restarted; nothing of it is kept. */
    private void giveUp(
            PendingStatement pending,
            PreparedConnection prepared,
            ServerReply reply,
            RetryDecision.GiveUp decision) {
        if (!reply.isOverload()) {
            onFailure(pending, prepared, reply);
            return;
        }
        String reason = reply.text() + SecondAttemptReason.of(decision.reason());
        long retryAfterMillis = TimeUnit.NANOSECONDS.toMillis(decision.retryAfterNanos());
        endWithFailure(
                pending,
                prepared,
                OperationResult.Failed.nothingKept(
                        FailureCode.BUSY + " " + reason, retryAfterMillis));
        ConnectionAcquisition.releaseOrClose(prepared, reply);
    }

    private ServerGroup group() {
        return mBroker.group(mContext.route().service());
    }

    /**
     * Restarts the transaction once it is known that the refusal was the answer to its statement:
     * otherwise the server runs the statement too.
     */
    private void confirmAndRetry(
            PendingStatement pending,
            PreparedConnection prepared,
            ServerReply reply,
            RetryDecision.Retry retry) {
        if (!prepared.connection().hasUnconfirmedRefusal()) {
            ConnectionAcquisition.releaseOrClose(prepared, reply);
            retryOnAnotherServer(pending, prepared, reply, retry);
            return;
        }
        ConnectionAcquisition.confirmAndRelease(
                prepared,
                confirmed -> {
                    if (mEnded || pending.mFinished) {
                        return;
                    }
                    if (confirmed) {
                        retryOnAnotherServer(pending, prepared, reply, retry);
                        return;
                    }
                    endWithFailure(
                            pending,
                            prepared,
                            FailureCode.ABORTED,
                            "the refusal was not confirmed");
                });
    }

    private void retryOnAnotherServer(
            PendingStatement pending,
            PreparedConnection prepared,
            ServerReply reply,
            RetryDecision.Retry retry) {
        GatewayEvent.REQUEST_RETRIED.log(
                pending.mRequestId, prepared.pool().server().id(), mAttempts, reply.code());
        mExcluded.add(prepared.pool().server().id());
        mConnection = Optional.empty();
        if (!reply.isOverload()) {
            acquire(pending);
            return;
        }
        mBroker.schedule(
                TimeUnit.NANOSECONDS.toMillis(retry.delayNanos()),
                () -> {
                    if (!mEnded && !pending.mFinished) {
                        acquire(pending);
                    }
                });
    }

    private void onDone(
            PendingStatement pending,
            PreparedConnection prepared,
            long sentNanos,
            ServerReply reply) {
        if (pending.isCommit()) {
            mEnded = true;
            mConnection = Optional.empty();
            ConnectionAcquisition.releaseOrClose(prepared, reply);
            if (mHasWritten) {
                mBroker.recordCommit(mContext, sentNanos, reply);
            }
        }
        pending.finish(new OperationResult.Done(reply.rows(), reply.signature()));
    }

    private void onFailure(
            PendingStatement pending, PreparedConnection prepared, ServerReply reply) {
        boolean mayBeCommitted = pending.isCommit() && mHasWritten;
        FailureCode code;
        if (!reply.isLost()) {
            code = reply.code() == FailureCode.OTHER ? FailureCode.FAILED : reply.code();
        } else {
            code = mayBeCommitted ? FailureCode.OUTCOME_UNKNOWN : FailureCode.ABORTED;
        }
        endWithFailure(pending, prepared, code, reply.text());
        ConnectionAcquisition.releaseOrClose(prepared, reply);
    }

    private void endWithFailure(
            PendingStatement pending,
            PreparedConnection prepared,
            FailureCode code,
            String reason) {
        endWithFailure(pending, prepared, new OperationResult.Failed(code, reason));
    }

    private void endWithFailure(
            PendingStatement pending, PreparedConnection prepared, OperationResult.Failed failure) {
        mEnded = true;
        mConnection = Optional.empty();
        GatewayEvent.REQUEST_FAILED.log(
                pending.mRequestId,
                prepared.pool().server().id(),
                failure.code().guaranteesNoEffect() ? "nothing-kept" : "may-have-run",
                failure.code(),
                failure.reason(),
                TimeUnit.NANOSECONDS.toMillis(mBroker.now() - mStatementStartNanos));
        pending.finish(failure);
    }

    private void abort(PendingStatement pending, String reason) {
        if (mEnded || pending.mFinished) {
            return;
        }
        PreparedConnection prepared = mConnection.orElseThrow();
        endWithFailure(pending, prepared, FailureCode.ABORTED, reason);
        prepared.connection().close(reason);
    }

    private void onDeadline(PendingStatement pending) {
        String silence = "the server did not answer in time";
        end(pending, isSent(pending) ? silence : "no server was free in time");
    }

    @Override
    public void abandon(String reason) {
        mPending.ifPresent(pending -> end(pending, reason));
    }

    private boolean isSent(PendingStatement pending) {
        return mConnection.isPresent() && pending.mSent;
    }

    /** Ends the transaction with a statement that has no answer. */
    private void end(PendingStatement pending, String reason) {
        if (mEnded || pending.mFinished) {
            return;
        }
        if (!isSent(pending)) {
            mContext.recordRefused(group().loadMetrics(), pending.mRequestId, reason);
            rollBack();
            pending.finish(OperationResult.Failed.notRun(reason, 0));
            return;
        }
        PreparedConnection prepared = mConnection.get();
        boolean mayBeCommitted = pending.isCommit() && mHasWritten;
        endWithFailure(
                pending,
                prepared,
                mayBeCommitted ? FailureCode.OUTCOME_UNKNOWN : FailureCode.ABORTED,
                reason);
        prepared.connection().close(reason);
    }
}
