package org.plantainferry.gateway.traffic;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.passing.HostLink;
import org.plantainferry.gateway.passing.PassedOperationListener;
import org.plantainferry.gateway.peer.generated.PassedAnswer;
import org.plantainferry.gateway.peer.generated.PassedOperation;
import org.plantainferry.gateway.statement.FailureCode;

/**
 * Passes one read or write outside a transaction to a host.
 *
 * <p>A statement of which the host has run nothing is run here, and so is a read whose host is lost
 * or silent. A write that was passed is never run here unless the host has refused it. Not
 * thread-safe: used by the traffic thread only.
 */
final class PassedStatement implements SingleOperation, PassedOperationListener {
    private final ConnectionBroker mBroker;
    private final LocalRunner mLocalRunner;
    private final HostLink mLink;
    private final OperationContext mContext;
    private final String mRequestId;
    private final PreparedStatement mStatement;
    private final Consumer<OperationResult> mCallback;
    private Optional<SingleStatement> mLocal = Optional.empty();
    private ScheduledFuture<?> mDeadlineTimer;
    private long mDeadlineNanos;
    private long mNumber;
    private boolean mFinished;

    PassedStatement(
            ConnectionBroker broker,
            LocalRunner localRunner,
            HostLink link,
            OperationContext context,
            String requestId,
            PreparedStatement statement,
            Consumer<OperationResult> callback) {
        mBroker = broker;
        mLocalRunner = localRunner;
        mLink = link;
        mContext = context;
        mRequestId = requestId;
        mStatement = statement;
        mCallback = callback;
    }

    @Override
    public void start() {
        long timeoutMillis = mContext.route().statementTimeoutMillis();
        long now = mBroker.now();
        mDeadlineNanos = now + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        mDeadlineTimer =
                mBroker.schedule(timeoutMillis, () -> end("the host did not answer in time"));
        PassedOperation operation =
                PassingCodec.operation(mContext, now)
                        .setStep(PassingCodec.step(mContext, mRequestId, mStatement))
                        .build();
        if (!HostLink.fits(operation.getSerializedSize())) {
            runHere("the statement is too long to be passed on", false);
            return;
        }
        mNumber = mLink.start(operation, this);
    }

    @Override
    public void onAnswer(PassedAnswer answer) {
        PassingCodec.position(answer)
                .ifPresent(
                        position ->
                                mContext.positions().record(mContext.route().service(), position));
        boolean isSuperseded = mLocal.isPresent() && !answer.getDone();
        if (mFinished || isSuperseded) {
            return;
        }
        finish(PassingCodec.result(answer, mStatement.writes()));
        mLocal.ifPresent(SingleStatement::onCallerLeft);
    }

    @Override
    public void onRefusal(String reason) {
        runHere(reason, false);
    }

    @Override
    public void onSilence() {
        if (!mStatement.writes()) {
            runHere("the host is silent", true);
        }
    }

    @Override
    public void onLost() {
        if (!mStatement.writes()) {
            runHere("the host is lost", true);
            return;
        }
        fail(FailureCode.OUTCOME_UNKNOWN, "the host of the statement is lost");
    }

    /**
     * Runs the statement on a connection of this instance, unless that has begun.
     *
     * @param mayHaveRun whether the host may have run it
     */
    private void runHere(String reason, boolean mayHaveRun) {
        if (mFinished || mLocal.isPresent()) {
            return;
        }
        GatewayEvent.REQUEST_RETRIED.log(mRequestId, mLink.host(), 1, reason);
        mDeadlineTimer.cancel(false);
        long leftMillis = TimeUnit.NANOSECONDS.toMillis(mDeadlineNanos - mBroker.now());
        SingleStatement local =
                mLocalRunner.create(
                        mContext.withTimeout(Math.max(1, leftMillis)),
                        mRequestId,
                        mStatement,
                        this::onLocalResult);
        if (mayHaveRun) {
            local.assumeMayHaveRun();
        }
        mLocal = Optional.of(local);
        local.start();
    }

    private void onLocalResult(OperationResult result) {
        mLink.end(mNumber, "the statement was run elsewhere");
        finish(result);
    }

    private void fail(FailureCode code, String reason) {
        if (mFinished) {
            return;
        }
        GatewayEvent.REQUEST_FAILED.log(
                mRequestId,
                mLink.host(),
                "may-have-run",
                code,
                reason,
                TimeUnit.NANOSECONDS.toMillis(mBroker.now() - mContext.startedNanos()));
        finish(new OperationResult.Failed(code, reason));
    }

    @Override
    public void abandon(String reason) {
        if (mLocal.isPresent()) {
            mLocal.get().abandon(reason);
        } else {
            end(reason);
        }
    }

    @Override
    public void onCallerLeft() {
        if (mLocal.isPresent()) {
            mLocal.get().onCallerLeft();
        } else {
            end("the caller has left");
        }
    }

    /** Ends the statement without an answer of the host. */
    private void end(String reason) {
        if (!mFinished) {
            mLink.end(mNumber, reason);
            fail(FailureCode.TIMED_OUT, reason);
        }
    }

    private void finish(OperationResult result) {
        if (!mFinished) {
            mFinished = true;
            mDeadlineTimer.cancel(false);
            mCallback.accept(result);
        }
    }
}
