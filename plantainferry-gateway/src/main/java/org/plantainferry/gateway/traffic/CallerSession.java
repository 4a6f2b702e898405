package org.plantainferry.gateway.traffic;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.plantainferry.engine.sessionstate.PreparedStatementDefinition;
import org.plantainferry.engine.sessionstate.SessionState;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.statement.CallerMessage;
import org.plantainferry.gateway.statement.FailureCode;
import org.plantainferry.gateway.statement.SessionMode;
import org.plantainferry.gateway.statement.Statement;

/**
 * Serves the session of one caller, which lasts as long as its connection.
 *
 * <p>Statements run one at a time, in order of arrival. Session values and prepared statements are
 * held here and applied to a server connection when a statement needs one. Not thread-safe: used by
 * the traffic thread only.
 */
final class CallerSession extends SimpleChannelInboundHandler<String> {
    private static final String SHUT_DOWN = "the instance shuts down";
    // Other instances serve the caller at once.
    private static final Admission.Refused REFUSED_BY_DRAIN =
            new Admission.Refused(FailureCode.BUSY, SHUT_DOWN, 0);
    private static final Admission.Refused TOO_MANY_SESSIONS =
            new Admission.Refused(FailureCode.BUSY, "too many sessions are open", 0);

    private final TrafficContext mTraffic;
    private final SessionState mSessionState = new SessionState();
    private final SessionPositions mPositions = new SessionPositions();
    private final RequestQueue mQueue = new RequestQueue();
    private final Runnable mWork = new UnnestedTask(this::runWaiting);
    private final TransactionIdleTimer mIdleTimer;
    private final SessionWork mInstanceWork;
    private CallerWriter mWriter;
    private CallerFlow mFlow;
    private String mDatabase;
    private String mKey;
    private OpenTransaction mTransaction;
    private Optional<RunningStatement> mRunningStatement = Optional.empty();
    // The reason of a rollback that the caller has not been told yet.
    private Optional<String> mUnreportedRollback = Optional.empty();
    private boolean mRunning;
    private boolean mClosed;
    private long mOperationStartNanos;

    CallerSession(TrafficContext traffic) {
        mTraffic = traffic;
        mIdleTimer = new TransactionIdleTimer(traffic.loop(), this::onIdleTimeout);
        mInstanceWork = traffic.newSessionWork();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mWriter = new CallerWriter(mTraffic.format(), context.channel());
        mFlow = new CallerFlow(context.channel(), mTraffic, mWriter, mWork);
        mTraffic.sessions().add(this);
        if (!mTraffic.makeRoomForSession()) {
            refuseSession(FailureCode.BUSY, TOO_MANY_SESSIONS.text());
        }
    }

    /** Receives the number of bytes of a message whose end has not arrived. */
    void onPartialMessage(int bytes) {
        mFlow.onPartialMessage(bytes);
    }

    /** Returns whether the caller has opened its session. */
    boolean isOpened() {
        return mDatabase != null;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, String line) {
        CallerMessage message = mTraffic.format().readCallerLine(line);
        mTraffic.delayProbe().onWork();
        if (mClosed) {
            return;
        }
        if (message instanceof CallerMessage.Open open && mDatabase == null) {
            open(open);
        } else if (message instanceof CallerMessage.Quit) {
            close();
        } else if (message instanceof CallerMessage.Request request && mDatabase != null) {
            mQueue.add(request, line.length());
            mWork.run();
        } else {
            refuseSession(FailureCode.MALFORMED, "the message is not understood");
        }
    }

    /** Sends a refusal and closes the connection. */
    private void refuseSession(FailureCode code, String reason) {
        mClosed = true;
        mFlow.stopReceiving();
        mWriter.refuseSession(code, reason);
        releaseResources();
    }

    private void open(CallerMessage.Open open) {
        Admission admission =
                mTraffic.hasReached(DrainStage.CLOSING_IDLE_SESSIONS)
                        ? REFUSED_BY_DRAIN
                        : mTraffic.admission().check(open.database(), open.key());
        if (admission instanceof Admission.Refused refused) {
            long version = mTraffic.admission().configuration().version();
            GatewayEvent.SESSION_REFUSED.log(
                    open.database(), refused.code(), refused.reason(), version);
            refuseSession(refused.code(), refused.text());
            return;
        }
        mDatabase = open.database();
        mKey = open.key();
        mOperationStartNanos = mTraffic.broker().now();
        mWriter.ready(SessionMode.IDLE);
    }

    private void runWaiting() {
        while (!mRunning && !mClosed && !mQueue.isEmpty() && mFlow.mayStart()) {
            CallerMessage.Request request = mQueue.startFirst();
            mIdleTimer.stop();
            mRunning = true;
            run(request);
        }
        if (!mClosed) {
            mFlow.onQueued(mQueue.bytes(), mQueue.isFull());
        }
        boolean isDraining = mTraffic.hasReached(DrainStage.CLOSING_IDLE_SESSIONS);
        if (isDraining && !mClosed && isIdle()) {
            close();
        }
    }

    private void run(CallerMessage.Request request) {
        Statement statement = request.statement();
        if (mTransaction != null && mTransaction.isEnded()) {
            runInFailedTransaction(request);
        } else if (statement instanceof Statement.Begin begin) {
            begin(request, begin);
        } else if (statement instanceof Statement.Commit) {
            commit(request);
        } else if (statement instanceof Statement.Rollback) {
            rollBack();
        } else if (statement instanceof Statement.SetValue set) {
            mSessionState.set(set.name(), set.value());
            mFlow.onSessionState(mSessionState.characters());
            acknowledge();
        } else if (statement instanceof Statement.Prepare prepare) {
            mSessionState.prepare(
                    prepare.name(),
                    new PreparedStatementDefinition(prepare.writes(), prepare.text()));
            mFlow.onSessionState(mSessionState.characters());
            acknowledge();
        } else if (statement instanceof Statement.Release release) {
            mSessionState.release(release.name());
            mFlow.onSessionState(mSessionState.characters());
            acknowledge();
        } else {
            runReadOrWrite(request);
        }
    }

    private SessionMode mode() {
        return mTransaction == null ? SessionMode.IDLE : mTransaction.mode();
    }

    private void acknowledge() {
        completeRequest(() -> mWriter.done(List.of(), Optional.empty(), mode()));
    }

    private void fail(FailureCode code, String reason) {
        completeRequest(() -> mWriter.failed(code, reason, mode()));
    }

    private void completeRequest(Runnable write) {
        mRunning = false;
        mInstanceWork.end();
        mQueue.endRunning();
        mRunningStatement = Optional.empty();
        if (mClosed) {
            return;
        }
        write.run();
        if (mTransaction != null && mTraffic.hasReached(DrainStage.ENDING_OPERATIONS)) {
            rollBackIdleTransaction(SHUT_DOWN);
        } else if (mTransaction != null) {
            mIdleTimer.start(mTraffic.admission().configuration().transactionIdleMillis());
        }
        mWork.run();
    }

    private void runInFailedTransaction(CallerMessage.Request request) {
        Statement statement = request.statement();
        Optional<String> rollback = mUnreportedRollback;
        mUnreportedRollback = Optional.empty();
        if (statement instanceof Statement.Rollback) {
            mTransaction = null;
            acknowledge();
        } else if (statement instanceof Statement.Commit) {
            mTransaction = null;
            fail(FailureCode.ABORTED, "the transaction had failed and is rolled back");
        } else if (rollback.isPresent()) {
            fail(FailureCode.ABORTED, rollback.get());
        } else {
            fail(FailureCode.MALFORMED, "the transaction has failed");
        }
    }

    private void begin(CallerMessage.Request request, Statement.Begin begin) {
        if (mTransaction != null) {
            fail(FailureCode.MALFORMED, "a transaction is open already");
            return;
        }
        admit(
                request,
                context -> {
                    mTransaction =
                            mTraffic.runner()
                                    .begin(
                                            context,
                                            begin.readOnly(),
                                            this::rollBackIdleTransaction);
                    acknowledge();
                });
    }

    /** Runs the next step if the new operation is admitted, and sends the refusal otherwise. */
    private void admit(CallerMessage.Request request, Consumer<OperationContext> next) {
        if (mTraffic.hasReached(DrainStage.ENDING_OPERATIONS)) {
            refuse(request, REFUSED_BY_DRAIN);
            return;
        }
        if (!mInstanceWork.mayBegin()) {
            refuse(request, mTraffic.refusalForLackOfProcessor());
            return;
        }
        mTraffic.admission()
                .admitOperation(
                        mDatabase, mKey, admission -> onAdmission(request, admission, next));
    }

    private void onAdmission(
            CallerMessage.Request request, Admission admission, Consumer<OperationContext> next) {
        if (mClosed) {
            return;
        }
        // The drain may have begun while other instances were asked for tokens.
        if (mTraffic.hasReached(DrainStage.ENDING_OPERATIONS)) {
            refuse(request, REFUSED_BY_DRAIN);
            return;
        }
        if (admission instanceof Admission.Granted granted) {
            mOperationStartNanos = mTraffic.broker().now();
            next.accept(
                    new OperationContext(
                            granted.workspace(),
                            granted.route(),
                            mSessionState,
                            mPositions,
                            mOperationStartNanos));
            return;
        }
        refuse(request, (Admission.Refused) admission);
    }

    private void refuse(CallerMessage.Request request, Admission.Refused refused) {
        String workspace = mTraffic.admission().configuration().workspaceOf(mKey).orElse("unknown");
        GatewayEvent.REQUEST_REFUSED.log(
                request.id(),
                workspace,
                refused.code(),
                refused.reason(),
                mTraffic.admission().configuration().version(),
                mTraffic.admission().describeLimit(workspace));
        mTraffic.metrics().recordOperation("refused", refused.code().name(), 0);
        fail(refused.code(), refused.text());
    }

    private void commit(CallerMessage.Request request) {
        if (mTransaction == null) {
            fail(FailureCode.MALFORMED, "no transaction is open");
            return;
        }
        if (!recheckAccess(request)) {
            return;
        }
        OpenTransaction transaction = mTransaction;
        mRunningStatement = Optional.of(transaction);
        mInstanceWork.begin(transaction.context().route());
        transaction.commit(
                request.id(),
                result -> {
                    // A commit ends the transaction regardless of its outcome.
                    mTransaction = null;
                    report(transaction.context().workspace(), result);
                    writeResult(result);
                });
    }

    private void rollBack() {
        if (mTransaction == null) {
            fail(FailureCode.MALFORMED, "no transaction is open");
            return;
        }
        mTransaction.rollBack();
        mTransaction = null;
        acknowledge();
    }

    /**
     * Rechecks the key for a statement of an open transaction. If access was withdrawn, rolls back
     * the transaction, sends the failure and returns false.
     */
    private boolean recheckAccess(CallerMessage.Request request) {
        Admission admission = mTraffic.admission().check(mDatabase, mKey);
        if (!(admission instanceof Admission.Refused refused)) {
            return true;
        }
        boolean isRouteGone = refused.code() == FailureCode.UNKNOWN_DATABASE;
        if (isRouteGone) {
            // Route changes take effect with the next transaction.
            return true;
        }
        GatewayEvent.TRANSACTION_ENDED.log(
                request.id(), mTransaction.context().workspace(), refused.reason());
        mTransaction.rollBack();
        if (request.statement() instanceof Statement.Commit) {
            // A commit ends the transaction regardless of its outcome.
            mTransaction = null;
        }
        boolean isKeyGone = refused.code() == FailureCode.KEY_REFUSED;
        fail(isKeyGone ? FailureCode.KEY_REFUSED : FailureCode.ABORTED, refused.reason());
        return false;
    }

    private void runReadOrWrite(CallerMessage.Request request) {
        Optional<PreparedStatement> prepared =
                PreparedStatement.resolve(request.statement(), mSessionState);
        if (prepared.isEmpty()) {
            boolean isName = request.statement() instanceof Statement.Execute;
            fail(
                    isName ? FailureCode.UNKNOWN_PREPARED : FailureCode.MALFORMED,
                    isName ? "the prepared statement is unknown" : "the text is not understood");
            return;
        }
        if (mTransaction != null) {
            runInTransaction(request, prepared.get());
            return;
        }
        admit(request, context -> runSingle(request, context, prepared.get()));
    }

    private void runSingle(
            CallerMessage.Request request, OperationContext context, PreparedStatement statement) {
        SingleOperation running =
                mTraffic.runner()
                        .create(
                                context,
                                request.id(),
                                statement,
                                result -> {
                                    report(context.workspace(), result);
                                    writeResult(result);
                                });
        mRunningStatement = Optional.of(running);
        mInstanceWork.begin(context.route());
        running.start();
    }

    private void runInTransaction(CallerMessage.Request request, PreparedStatement statement) {
        if (recheckAccess(request)) {
            mRunningStatement = Optional.of(mTransaction);
            mInstanceWork.begin(mTransaction.context().route());
            mTransaction.run(request.id(), statement, this::writeResult);
        }
    }

    private void report(String workspace, OperationResult result) {
        long durationNanos = mTraffic.broker().now() - mOperationStartNanos;
        String outcome =
                result instanceof OperationResult.Failed failed ? failed.code().name() : "DONE";
        mTraffic.metrics().recordOperation(workspace, outcome, durationNanos);
    }

    private void writeResult(OperationResult result) {
        if (result instanceof OperationResult.Done done) {
            completeRequest(() -> mWriter.done(done.rows(), Optional.of(done.signature()), mode()));
            return;
        }
        OperationResult.Failed failed = (OperationResult.Failed) result;
        fail(failed.code(), failed.reason());
    }

    private void onIdleTimeout() {
        rollBackIdleTransaction("the transaction was idle for too long");
    }

    /**
     * Rolls back an open transaction that has no statement in progress; its next statement gets the
     * reason.
     */
    void rollBackIdleTransaction(String reason) {
        if (mTransaction == null || mTransaction.isEnded() || mRunning) {
            return;
        }
        GatewayEvent.TRANSACTION_ENDED.log("-", mTransaction.context().workspace(), reason);
        mTransaction.rollBack();
        mUnreportedRollback = Optional.of(reason);
    }

    /** Ends the open transaction because of a drain, now or after its statement in progress. */
    void endTransaction() {
        rollBackIdleTransaction(SHUT_DOWN);
    }

    /** Ends the statement in progress with a final answer. */
    void endStatement() {
        mRunningStatement.ifPresent(running -> running.abandon(SHUT_DOWN));
    }

    boolean isInTransaction() {
        return mTransaction != null && !mTransaction.isEnded();
    }

    /** Returns whether the session has no work in progress, so that closing it loses nothing. */
    boolean isIdle() {
        return !mRunning && mQueue.isEmpty() && mTransaction == null && !mFlow.holdsRequests();
    }

    /** Closes the connection without waiting for what is being written. */
    void abort() {
        mFlow.closeForMemory();
    }

    /** Returns when the last operation began; when the session opened if there was none. */
    long operationStartNanos() {
        return mOperationStartNanos;
    }

    void close() {
        if (mClosed) {
            return;
        }
        mClosed = true;
        mFlow.stopReceiving();
        mWriter.close();
        releaseResources();
    }

    private void releaseResources() {
        mInstanceWork.end();
        mIdleTimer.stop();
        mQueue.clear();
        mRunningStatement.ifPresent(RunningStatement::onCallerLeft);
        if (mTransaction != null) {
            mTransaction.rollBack();
            mTransaction = null;
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        mWriter.onWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mClosed = true;
        mFlow.end();
        // Until now the last answer may have been on its way, for which a drain waits.
        mTraffic.sessions().remove(this);
        releaseResources();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        boolean isTooLong = cause instanceof TooLongFrameException;
        if ((isTooLong || cause instanceof CorruptedFrameException) && !mClosed) {
            refuseSession(
                    FailureCode.MALFORMED,
                    isTooLong ? "the line is longer than 1 MiB" : "the line is not UTF-8");
            return;
        }
        if (cause instanceof OutOfMemoryError) {
            mTraffic.memory().relieve(cause);
        } else if (!(cause instanceof IOException)) {
            GatewayEvent.UNEXPECTED.log("session", cause);
        }
        close();
    }
}
