package org.plantainferry.gateway.traffic;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.plantainferry.api.StatementKind;
import org.plantainferry.api.Verdict;
import org.plantainferry.engine.capacity.WorkKind;
import org.plantainferry.engine.catalog.ReadGuarantee;
import org.plantainferry.engine.retry.FailedAttempt;
import org.plantainferry.engine.retry.RetryDecision;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.statement.FailureCode;

/**
 * Runs one read or write outside a transaction. Retries a statement that has certainly not run, and
 * any read, as {@link org.plantainferry.engine.retry.SecondAttemptPolicy} decides.
 *
 * <p>Not thread-safe: used by the traffic thread only.
 */
final class SingleStatement implements SingleOperation {
    private static final int MAX_ATTEMPTS = 6;
    private static final long RETRY_AFTER_MILLIS = 150;
    private static final String CALLER_LEFT = "the caller has left";
    private static final long SILENCE_AVOIDANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final ConnectionBroker mBroker;
    private final OperationContext mContext;
    private final String mRequestId;
    private final PreparedStatement mStatement;
    private final Consumer<OperationResult> mCallback;
    private final long mArrivedNanos;
    private final long mDeadlineNanos;
    private final ConnectionPurpose mPurpose;
    private final WorkKind mWorkKind;
    private final Set<String> mExcluded = new HashSet<>();
    private final List<ConnectionAcquisition> mAcquisitions = new ArrayList<>(1);
    // The connections of the attempts that have no answer yet.
    private final List<ServerConnection> mUnanswered = new ArrayList<>(1);
    private PreparedConnection mLastSentOn;
    private long mLastSentNanos;
    private int mAttempts;
    private int mPendingAttempts;
    private boolean mFinished;
    private boolean mCallerLeft;
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
        mWorkKind = context.workKind(statement);
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
        group().secondAttempts().onFirstAttempt(mArrivedNanos);
        if (mPurpose == ConnectionPurpose.READ) {
            mBroker.hedgeBudget().onRead();
            // Hedging: a read without an answer after this delay is also sent to a second server.
            long hedgeMillis = StatementTimeouts.hedgeMillis(mContext.route());
            mHedgeTimer = Optional.of(mBroker.schedule(hedgeMillis, this::sendHedge));
        }
        attempt(false);
    }

    private ServerGroup group() {
        return mBroker.group(mContext.route().service());
    }

    private GroupRoom room() {
        return new GroupRoom(group(), mContext.workspace(), mWorkKind);
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
                        mWorkKind,
                        mContext.sessionState(),
                        mStatement.definition(),
                        mContext.positions().of(mContext.route().service()),
                        mArrivedNanos,
                        mContext.urgency(placementDeadline),
                        placementDeadline,
                        hedge);
        mAcquisitions.add(mBroker.acquire(request, mExcluded, this::onAcquired));
    }

    private void onAcquired(PreparedConnectionResult result) {
        if (result.connection().isEmpty()) {
            mPendingAttempts--;
            if (mPendingAttempts == 0 && !mFinished) {
                recordRefusal(result.reason());
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

    private void recordRefusal(String reason) {
        if (mLastSentOn == null) {
            mContext.recordRefused(group().loadMetrics(), mRequestId, reason);
        }
    }

    private void releaseUnused(PreparedConnection prepared) {
        if (mPurpose.isInTransaction()) {
            ConnectionAcquisition.rollBackAndRelease(prepared, rolledBack -> {});
            return;
        }
        prepared.pool().release(prepared.connection());
    }

    private void send(PreparedConnection prepared) {
        long sent = mBroker.now();
        if (mLastSentOn == null) {
            mContext.recordSent(group().loadMetrics(), mRequestId, prepared, sent - mArrivedNanos);
        }
        mLastSentOn = prepared;
        mUnanswered.add(prepared.connection());
        mLastSentNanos = sent;
        prepared.pool().onStatementSent(mWorkKind, sent);
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
        mUnanswered.remove(prepared.connection());
        if (mFinished && mUnanswered.isEmpty()) {
            mDeadlineTimer.cancel(false);
        }
        long now = mBroker.now();
        prepared.pool().onStatementEnded(mWorkKind, reply, now - sentNanos);
        group().secondAttempts().onAnswer(reply.isOverload(), now);
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
        if (mCallerLeft) {
            endIfNothingIsPending();
            return;
        }
        RetryDecision decision = decide(reply, now);
        if (decision instanceof RetryDecision.Retry retry) {
            GatewayEvent.REQUEST_RETRIED.log(
                    mRequestId, prepared.pool().server().id(), mAttempts, mLastReason);
            retryAfter(TimeUnit.NANOSECONDS.toMillis(retry.delayNanos()));
            return;
        }
        if (mPendingAttempts > 0) {
            return;
        }
        RetryDecision.GiveUp giveUp = (RetryDecision.GiveUp) decision;
        mLastReason += SecondAttemptReason.of(giveUp.reason());
        fail(prepared, failureCode(reply), TimeUnit.NANOSECONDS.toMillis(giveUp.retryAfterNanos()));
    }

    private void endIfNothingIsPending() {
        if (mPendingAttempts == 0) {
            end(CALLER_LEFT, 0);
        }
    }

    private RetryDecision decide(ServerReply reply, long now) {
        FailedAttempt attempt =
                new FailedAttempt(
                        reply.failureCause(),
                        reply.isNotRun() ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN,
                        mStatement.writes() ? StatementKind.WRITE : StatementKind.READ,
                        false,
                        false,
                        mAttempts,
                        mDeadlineNanos);
        return group().secondAttempts()
                .decide(
                        attempt,
                        MAX_ATTEMPTS,
                        room().forRetry(mPurpose, mExcluded, now),
                        now,
                        mBroker.random());
    }

    private void retryAfter(long pauseMillis) {
        if (pauseMillis == 0) {
            attempt(false);
            return;
        }
        mPendingAttempts++;
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

    private void fail(PreparedConnection prepared, FailureCode code, long retryAfterMillis) {
        GatewayEvent.REQUEST_FAILED.log(
                mRequestId,
                prepared.pool().server().id(),
                code.guaranteesNoEffect() ? "not-run" : "may-have-run",
                code,
                mLastReason,
                TimeUnit.NANOSECONDS.toMillis(mBroker.now() - mArrivedNanos));
        if (code.guaranteesNoEffect()) {
            finish(refusalResult(mLastReason, retryAfterMillis));
            return;
        }
        finish(new OperationResult.Failed(code, mLastReason));
    }

    private void sendHedge() {
        if (mFinished || mPendingAttempts != 1 || !mayHedge()) {
            return;
        }
        if (mUnanswered.size() == 1) {
            avoidSilentServer();
        }
        group().secondAttempts().onHedge(mBroker.now());
        attempt(true);
    }

    private boolean mayHedge() {
        long now = mBroker.now();
        return group().secondAttempts()
                        .mayHedge(room().forHedge(mExcluded, now), mDeadlineNanos, now)
                && mBroker.hedgeBudget().tryHedge();
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
        if (mFinished) {
            // Another server has answered, but the room of a silent one must become free.
            closeUnanswered(silence);
            return;
        }
        end(mUnanswered.isEmpty() ? "no server was free in time" : silence, RETRY_AFTER_MILLIS);
    }

    @Override
    public void abandon(String reason) {
        end(reason, 0);
    }

    @Override
    public void onCallerLeft() {
        mCallerLeft = true;
        if (mUnanswered.isEmpty()) {
            end(CALLER_LEFT, 0);
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
        if (mUnanswered.isEmpty()) {
            recordRefusal(reason);
            finish(refusalResult(reason, retryAfterMillis));
            return;
        }
        mLastReason = reason;
        fail(mLastSentOn, FailureCode.TIMED_OUT, retryAfterMillis);
        closeUnanswered(reason);
    }

    private void closeUnanswered(String reason) {
        List.copyOf(mUnanswered).forEach(connection -> connection.close(reason));
    }

    private void finish(OperationResult result) {
        if (mFinished) {
            return;
        }
        mFinished = true;
        if (mUnanswered.isEmpty()) {
            mDeadlineTimer.cancel(false);
        }
        mHedgeTimer.ifPresent(hedge -> hedge.cancel(false));
        mAcquisitions.forEach(ConnectionAcquisition::cancel);
        mCallback.accept(result);
    }
}
