package org.plantainferry.gateway.traffic;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.plantainferry.engine.catalog.ReadGuarantee;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.statement.FailureCode;

/**
 * Runs one read or write outside a transaction. Retries a statement that has certainly not run, and
 * any read.
 *
 * <p>Not thread-safe: used by the traffic thread only.
 */
final class SingleStatement implements SingleOperation {
    private static final int MAX_ATTEMPTS = 6;
    private static final long RETRY_AFTER_MILLIS = 150;
    private static final long INITIAL_BUSY_BACKOFF_MILLIS = 15;
    private static final int MAX_BACKOFF_DOUBLINGS = 4;
    private static final long SILENCE_AVOIDANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final ConnectionBroker mBroker;
    private final OperationContext mContext;
    private final String mRequestId;
    private final PreparedStatement mStatement;
    private final Consumer<OperationResult> mCallback;
    private final long mArrivedNanos;
    private final long mDeadlineNanos;
    private final ConnectionPurpose mPurpose;
    private final Set<String> mExcluded = new HashSet<>();
    private PreparedConnection mLastSentOn;
    private long mLastSentNanos;
    private int mAttempts;
    private int mPendingAttempts;
    private int mUnansweredSends;
    private boolean mFinished;
    private boolean mMayHaveRun;
    private ScheduledFuture<?> mDeadlineTimer;
    private Optional<ScheduledFuture<?>> mHedgeTimer = Optional.empty();
    private String mLastReason = "";

    SingleStatement(
            ConnectionBroker broker,
            OperationContext context,
            String requestId,
            PreparedStatement statement,
            Consumer<OperationResult> callback) {
        mBroker = broker;
        mContext = context;
        mRequestId = requestId;
        mStatement = statement;
        mCallback = callback;
        mArrivedNanos = broker.now();
        long timeout = context.route().statementTimeoutMillis();
        mDeadlineNanos = mArrivedNanos + TimeUnit.MILLISECONDS.toNanos(timeout);
        mPurpose = purpose();
    }

    private ConnectionPurpose purpose() {
        if (mStatement.writes()) {
            return ConnectionPurpose.WRITE;
        }
        return mContext.route().guarantee() == ReadGuarantee.PRIMARY
                ? ConnectionPurpose.PRIMARY_READ
                : ConnectionPurpose.READ;
    }

    /** Makes a refusal say that the statement may have run, because another instance had it. */
    void assumeMayHaveRun() {
        mMayHaveRun = true;
    }

    @Override
    public void start() {
        mDeadlineTimer =
                mBroker.schedule(mContext.route().statementTimeoutMillis(), this::onDeadline);
        if (mPurpose == ConnectionPurpose.READ) {
            mBroker.hedgeBudget().onRead();
            // Hedging: a read without an answer after this delay is also sent to a second server.
            long hedgeMillis = StatementTimeouts.hedgeMillis(mContext.route());
            mHedgeTimer = Optional.of(mBroker.schedule(hedgeMillis, this::sendHedge));
        }
        attempt(false);
    }

    private void attempt(boolean hedge) {
        mAttempts++;
        mPendingAttempts++;
        long placementDeadline =
                StatementTimeouts.placementDeadline(mContext.route(), mArrivedNanos);
        ConnectionRequest request =
                new ConnectionRequest(
                        mRequestId,
                        mContext.workspace(),
                        mContext.route(),
                        mPurpose,
                        mContext.sessionState(),
                        mStatement.definition(),
                        mContext.positions().of(mContext.route().service()),
                        mArrivedNanos,
                        mContext.urgency(placementDeadline),
                        placementDeadline,
                        hedge);
        mBroker.acquire(request, mExcluded, this::onAcquired);
    }

    private void onAcquired(PreparedConnectionResult result) {
        if (result.connection().isEmpty()) {
            mPendingAttempts--;
            if (mPendingAttempts == 0 && !mFinished) {
                finish(refusalResult(result.reason(), result.retryAfterMillis()));
            }
            return;
        }
        PreparedConnection prepared = result.connection().get();
        if (mFinished) {
            mPendingAttempts--;
            releaseUnused(prepared);
            return;
        }
        send(prepared);
    }

    private void releaseUnused(PreparedConnection prepared) {
        if (mPurpose.isInTransaction()) {
            ConnectionAcquisition.rollBackAndRelease(prepared, rolledBack -> {});
            return;
        }
        prepared.pool().release(prepared.connection());
    }

    private void send(PreparedConnection prepared) {
        mLastSentOn = prepared;
        mUnansweredSends++;
        long sent = mBroker.now();
        mLastSentNanos = sent;
        prepared.pool().onStatementSent(mContext.workKind(mStatement), sent);
        mBroker.send(
                prepared,
                mPurpose,
                Optional.of(mRequestId),
                // Inside a transaction, its begin statement has already required the position.
                mPurpose.isInTransaction() ? Optional.empty() : prepared.requiredPosition(),
                mStatement.on(prepared.connection()),
                reply -> onReply(prepared, sent, reply));
    }

    private void onReply(PreparedConnection prepared, long sentNanos, ServerReply reply) {
        mPendingAttempts--;
        mUnansweredSends--;
        long now = mBroker.now();
        prepared.pool().onStatementEnded(mContext.workKind(mStatement), reply, now - sentNanos);
        if (reply.isDone()) {
            prepared.pool().health().onAnswer(now, now - sentNanos);
            reply.position()
                    .ifPresent(position -> prepared.pool().health().onPosition(now, position));
            mBroker.recordPositionAtBegin(prepared);
            ConnectionAcquisition.releaseOrClose(prepared, reply);
            if (mStatement.writes()) {
                mBroker.recordCommit(mContext, sentNanos, reply);
            }
            finish(new OperationResult.Done(reply.rows(), reply.signature()));
            return;
        }
        ConnectionAcquisition.recordFailure(prepared.pool(), reply, now);
        ConnectionAcquisition.releaseOrClose(prepared, reply);
        if (!mFinished) {
            onFailure(prepared, reply, now);
        }
    }

    private void onFailure(PreparedConnection prepared, ServerReply reply, long now) {
        mMayHaveRun |= !reply.isNotRun();
        mLastReason = reply.isLost() ? reply.text() : reply.code() + " " + reply.text();
        boolean mayRepeat = reply.isNotRun() || !mStatement.writes();
        if (mayRepeat && mAttempts < MAX_ATTEMPTS && now - mDeadlineNanos < 0) {
            GatewayEvent.REQUEST_RETRIED.log(
                    mRequestId, prepared.pool().server().id(), mAttempts, mLastReason);
            retry(reply);
            return;
        }
        if (mPendingAttempts > 0) {
            return;
        }
        fail(prepared, failureCode(reply));
    }

    /**
     * Tries again, with exponential backoff when the last server was overloaded and without delay
     * otherwise.
     */
    private void retry(ServerReply reply) {
        if (reply.isLost() || reply.code() != FailureCode.BUSY) {
            attempt(false);
            return;
        }
        mPendingAttempts++;
        long pauseMillis =
                INITIAL_BUSY_BACKOFF_MILLIS << Math.min(mAttempts - 1, MAX_BACKOFF_DOUBLINGS);
        mBroker.schedule(
                pauseMillis,
                () -> {
                    mPendingAttempts--;
                    if (!mFinished) {
                        attempt(false);
                    }
                });
    }

    /** Returns a refusal of the statement. Nothing of it is kept, but a read may have run. */
    private OperationResult refusalResult(String reason, long retryAfterMillis) {
        return mMayHaveRun
                ? OperationResult.Failed.notAnswered(reason, retryAfterMillis)
                : OperationResult.Failed.notRun(reason, retryAfterMillis);
    }

    private FailureCode failureCode(ServerReply reply) {
        if (!reply.isLost()) {
            return reply.code() == FailureCode.OTHER ? FailureCode.FAILED : reply.code();
        }
        return mStatement.writes() ? FailureCode.OUTCOME_UNKNOWN : FailureCode.FAILED;
    }

    private void fail(PreparedConnection prepared, FailureCode code) {
        GatewayEvent.REQUEST_FAILED.log(
                mRequestId,
                prepared.pool().server().id(),
                code.guaranteesNoEffect() ? "not-run" : "may-have-run",
                code,
                mLastReason,
                TimeUnit.NANOSECONDS.toMillis(mBroker.now() - mArrivedNanos));
        if (code.guaranteesNoEffect()) {
            finish(refusalResult(mLastReason, RETRY_AFTER_MILLIS));
            return;
        }
        finish(new OperationResult.Failed(code, mLastReason));
    }

    private void sendHedge() {
        if (mFinished || mPendingAttempts != 1 || !mBroker.hedgeBudget().tryHedge()) {
            return;
        }
        if (mUnansweredSends == 1) {
            avoidSilentServer();
        }
        attempt(true);
    }

    private void avoidSilentServer() {
        ServerConnectionPool pool = mLastSentOn.pool();
        GatewayEvent.REQUEST_RETRIED.log(
                mRequestId, pool.server().id(), mAttempts, "no answer yet");
        if (!pool.health().hasAnsweredSince(mLastSentNanos)) {
            pool.health().avoid(mBroker.now(), SILENCE_AVOIDANCE_NANOS);
        }
    }

    private void onDeadline() {
        String silence = "the server did not answer in time";
        end(mUnansweredSends == 0 ? "no server was free in time" : silence, RETRY_AFTER_MILLIS);
    }

    @Override
    public void abandon(String reason) {
        end(reason, 0);
    }

    @Override
    public void withdraw(String reason) {
        if (mUnansweredSends == 0) {
            end(reason, 0);
        }
    }

    /**
     * Ends the statement without an answer.
     *
     * @param retryAfterMillis when the caller may retry if the statement has not run
     */
    private void end(String reason, long retryAfterMillis) {
        if (mFinished) {
            return;
        }
        if (mUnansweredSends == 0) {
            finish(refusalResult(reason, retryAfterMillis));
            return;
        }
        mLastReason = reason;
        PreparedConnection last = mLastSentOn;
        fail(last, FailureCode.TIMED_OUT);
        last.connection().close(mLastReason);
    }

    private void finish(OperationResult result) {
        if (mFinished) {
            return;
        }
        mFinished = true;
        mDeadlineTimer.cancel(false);
        mHedgeTimer.ifPresent(hedge -> hedge.cancel(false));
        mCallback.accept(result);
    }
}
