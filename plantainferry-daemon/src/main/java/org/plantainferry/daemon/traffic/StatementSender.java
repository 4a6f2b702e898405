package org.plantainferry.daemon.traffic;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.function.LongSupplier;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.StatementKind;
import org.plantainferry.api.Verdict;
import org.plantainferry.engine.admission.ConcurrencyLimit;
import org.plantainferry.engine.retry.FailureCause;
import org.plantainferry.network.target.RefusalReason;
import org.plantainferry.network.target.StatementAnswer;
import org.plantainferry.network.target.StatementResult;
import org.plantainferry.network.target.TargetConnection;
import org.plantainferry.network.target.TargetProtocol;
import org.plantainferry.network.target.TargetRefusal;
import org.plantainferry.network.target.TargetRequest;
import org.plantainferry.network.target.TargetResponse;

/**
 * Sends queued requests to servers and handles their responses.
 *
 * <p>Confined to the event loop of the service dispatcher.
 */
final class StatementSender {
    /** The timeout of a first attempt that can be retried; an ordinary statement takes far less. */
    private static final long FIRST_ATTEMPT_TIMEOUT_MILLIS = 500;

    private static final long TRANSACTION_LIMIT_RETRY_AFTER_MILLIS = 100;

    private final ServiceDispatcher mDispatcher;
    private final EventLoop mEventLoop;
    private final LongSupplier mClock;
    private final AcknowledgementCheck mAcknowledgementCheck;
    private final TransactionRegistry mTransactions;
    private final CallerAnswerFactory mAnswerFactory;
    private final Map<TargetConnection, InFlightRequest> mInFlight = new HashMap<>();

    private record InFlightRequest(
            ServerRequestQueue queue, PendingRequest request, long sentNanos) {}

    StatementSender(
            ServiceDispatcher dispatcher,
            EventLoop eventLoop,
            LongSupplier clock,
            AcknowledgementCheck acknowledgementCheck,
            TransactionRegistry transactions,
            CallerAnswerFactory answerFactory) {
        mDispatcher = dispatcher;
        mEventLoop = eventLoop;
        mClock = clock;
        mAcknowledgementCheck = acknowledgementCheck;
        mTransactions = transactions;
        mAnswerFactory = answerFactory;
    }

    AcknowledgementCheck acknowledgementCheck() {
        return mAcknowledgementCheck;
    }

    CallerAnswerFactory answerFactory() {
        return mAnswerFactory;
    }

    /** Sends a request on a connection, or fails it when it may no longer be sent. */
    void send(ServerRequestQueue queue, PendingRequest request, TargetConnection connection) {
        long now = mClock.getAsLong();
        Optional<PlantainferryException> refusal = refusalBeforeSending(queue, request, now);
        if (refusal.isPresent()) {
            queue.release(connection);
            queue.concurrencyLimit().release(ConcurrencyLimit.Outcome.FAILED, 0, now);
            request.fail(refusal.get());
            return;
        }
        request.countAttempt();
        InFlightRequest inFlight = new InFlightRequest(queue, request, now);
        mInFlight.put(connection, inFlight);
        connection
                .send(toTargetRequest(request), timeoutMillis(request, now))
                .whenCompleteAsync(
                        (response, failure) -> onCompleted(connection, inFlight, response, failure),
                        mEventLoop);
    }

    private Optional<PlantainferryException> refusalBeforeSending(
            ServerRequestQueue queue, PendingRequest request, long now) {
        if (request.remainingMillis(now) <= 0) {
            return Optional.of(
                    new PlantainferryException(
                            ErrorCode.DEADLINE_EXCEEDED, "the deadline passed in the queue"));
        }
        if (request.request().operation() == Operation.BEGIN && !queue.connections().canPin()) {
            return Optional.of(tooManyTransactions());
        }
        try {
            mDispatcher.authenticator().verifyStillValid(request.request());
            return Optional.empty();
        } catch (PlantainferryException e) {
            return Optional.of(e);
        }
    }

    private static PlantainferryException tooManyTransactions() {
        return new PlantainferryException(
                ErrorCode.OVERLOADED,
                "too many open transactions on this instance",
                Verdict.NOT_RUN,
                TRANSACTION_LIMIT_RETRY_AFTER_MILLIS,
                null);
    }

    private TargetRequest toTargetRequest(PendingRequest request) {
        long term = mDispatcher.routingState().term();
        if (request.request().operation() == Operation.BEGIN) {
            return TargetProtocol.begin(term);
        }
        if (request.request().operation() == Operation.COMMIT) {
            return TargetProtocol.commit(term, request.requestId());
        }
        return TargetProtocol.statement(
                request.request().kind(),
                request.request().statement(),
                term,
                request.minimumPosition(),
                request.requestId());
    }

    private static long timeoutMillis(PendingRequest request, long now) {
        long remainingMillis = request.remainingMillis(now);
        boolean isRetryable =
                request.request().isIdempotent()
                        || request.request().operation() == Operation.BEGIN;
        if (!isRetryable) {
            return remainingMillis;
        }
        // A short first attempt limits the delay by a server that has stopped answering; later
        // attempts leave a slow statement the time it needs.
        long timeoutMillis =
                request.attempts() <= 1 ? FIRST_ATTEMPT_TIMEOUT_MILLIS : remainingMillis / 2;
        return Math.min(remainingMillis, Math.max(FIRST_ATTEMPT_TIMEOUT_MILLIS, timeoutMillis));
    }

    private void onCompleted(
            TargetConnection connection,
            InFlightRequest inFlight,
            TargetResponse response,
            Throwable failure) {
        mInFlight.remove(connection);
        long now = mClock.getAsLong();
        long latencyNanos = now - inFlight.sentNanos();
        if (failure != null) {
            inFlight.queue()
                    .concurrencyLimit()
                    .release(ConcurrencyLimit.Outcome.FAILED, latencyNanos, now);
            inFlight.queue().discard(connection);
            onFailure(inFlight, failure);
        } else {
            mDispatcher.routingState().observeLatency(inFlight.queue().server(), latencyNanos, now);
            onResponse(connection, inFlight, response, latencyNanos, now);
        }
        inFlight.queue().dispatchWaiting();
    }

    private void onFailure(InFlightRequest inFlight, Throwable failure) {
        ServerId server = inFlight.queue().server();
        mDispatcher.routingState().observeFailure(server, mClock.getAsLong());
        mDispatcher.listener().onStatementFailed(mDispatcher.service().name(), server);
        Verdict verdict = verdictOf(failure);
        PendingRequest request = inFlight.request();
        request.exclude(server);
        // The target rolls an unfinished transaction back when its connection is lost.
        boolean isBegin = request.request().operation() == Operation.BEGIN;
        Verdict effectiveVerdict = isBegin ? Verdict.NOT_RUN : verdict;
        mDispatcher.retryOrFail(
                request,
                FailureCause.CONNECTION_LOST,
                effectiveVerdict,
                connectionLostCode(request, effectiveVerdict),
                "the connection to the server was lost or timed out");
    }

    private static ErrorCode connectionLostCode(PendingRequest request, Verdict verdict) {
        boolean isUncertain =
                verdict == Verdict.MAY_HAVE_RUN && request.request().kind() == StatementKind.WRITE;
        return isUncertain ? ErrorCode.OUTCOME_UNKNOWN : ErrorCode.TARGET_UNAVAILABLE;
    }

    static Verdict verdictOf(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null
                        ? failure.getCause()
                        : failure;
        return cause instanceof PlantainferryException error
                ? error.verdict()
                : Verdict.MAY_HAVE_RUN;
    }

    private void onResponse(
            TargetConnection connection,
            InFlightRequest inFlight,
            TargetResponse response,
            long latencyNanos,
            long now) {
        ServerRequestQueue queue = inFlight.queue();
        StatementAnswer answer = TargetProtocol.readStatementAnswer(response);
        if (answer instanceof StatementResult result) {
            queue.concurrencyLimit().release(ConcurrencyLimit.Outcome.ANSWERED, latencyNanos, now);
            observe(queue.server(), result, now);
            onResult(connection, inFlight, result);
            return;
        }
        TargetRefusal refusal = (TargetRefusal) answer;
        boolean isBusy = refusal.reason() == RefusalReason.BUSY;
        queue.concurrencyLimit()
                .release(
                        isBusy ? ConcurrencyLimit.Outcome.BUSY : ConcurrencyLimit.Outcome.ANSWERED,
                        latencyNanos,
                        now);
        releaseAfterRefusal(refusal, queue, connection);
        observe(queue.server(), refusal, now);
        onRefusal(inFlight, refusal);
    }

    private static void releaseAfterRefusal(
            TargetRefusal refusal, ServerRequestQueue queue, TargetConnection connection) {
        boolean isStateUnknown =
                refusal.reason() == RefusalReason.UNREADABLE
                        || refusal.reason() == RefusalReason.TOO_MANY_CONNECTIONS;
        if (isStateUnknown) {
            queue.discard(connection);
        } else {
            queue.release(connection);
        }
    }

    private void observe(ServerId server, StatementResult result, long now) {
        long termBefore = mDispatcher.routingState().term();
        Optional<ServerId> primaryBefore = mDispatcher.routingState().primary();
        mDispatcher
                .routingState()
                .observeAnswer(
                        server,
                        result.role(),
                        result.term(),
                        result.position(),
                        result.lagMillis().orElse(0L),
                        now);
        mDispatcher.reportPrimaryChange(termBefore, primaryBefore);
    }

    private void observe(ServerId server, TargetRefusal refusal, long now) {
        if (refusal.term().isEmpty()) {
            return;
        }
        long termBefore = mDispatcher.routingState().term();
        Optional<ServerId> primaryBefore = mDispatcher.routingState().primary();
        mDispatcher
                .routingState()
                .observeRefusal(
                        server,
                        refusal.term().get(),
                        refusal.position().orElse(0L),
                        refusal.reason() == RefusalReason.LEAVING,
                        refusal.reason() == RefusalReason.NOT_PRIMARY,
                        now);
        mDispatcher.reportPrimaryChange(termBefore, primaryBefore);
    }

    private void onResult(
            TargetConnection connection, InFlightRequest inFlight, StatementResult result) {
        PendingRequest request = inFlight.request();
        ServerRequestQueue queue = inFlight.queue();
        if (request.request().operation() == Operation.BEGIN) {
            startTransaction(connection, queue, request, result);
            return;
        }
        queue.release(connection);
        if (request.request().kind() == StatementKind.READ) {
            onReadResult(queue, request, result);
            return;
        }
        mAcknowledgementCheck.decide(
                mDispatcher.service(),
                result.term(),
                inFlight.sentNanos(),
                isConfirmed -> onWriteResult(queue, request, result, isConfirmed));
    }

    private void onReadResult(
            ServerRequestQueue queue, PendingRequest request, StatementResult result) {
        boolean isTooOld =
                request.request()
                        .maximumAgeMillis()
                        .map(maximumMillis -> result.lagMillis().orElse(0L) > maximumMillis)
                        .orElse(false);
        if (isTooOld || !request.session().isSatisfiedBy(result.logPosition())) {
            request.exclude(queue.server());
            mDispatcher.retryOrFail(
                    request,
                    FailureCause.BEHIND,
                    Verdict.NOT_RUN,
                    ErrorCode.TARGET_UNAVAILABLE,
                    "no server has reached the position that the session has seen");
            return;
        }
        request.succeed(mAnswerFactory.statementAnswer(request.session(), queue.server(), result));
    }

    private void onWriteResult(
            ServerRequestQueue queue,
            PendingRequest request,
            StatementResult result,
            boolean isConfirmed) {
        if (isConfirmed) {
            request.succeed(
                    mAnswerFactory.statementAnswer(request.session(), queue.server(), result));
            return;
        }
        mDispatcher.retryOrFail(
                request,
                FailureCause.UNCONFIRMED,
                Verdict.MAY_HAVE_RUN,
                ErrorCode.OUTCOME_UNKNOWN,
                "the primary may have been replaced before it confirmed the write");
    }

    private void startTransaction(
            TargetConnection connection,
            ServerRequestQueue queue,
            PendingRequest request,
            StatementResult result) {
        if (request.isAnswered() || !queue.connections().canPin()) {
            queue.discard(connection);
            request.fail(tooManyTransactions());
            return;
        }
        queue.connections().pin(connection);
        PinnedTransaction transaction =
                new PinnedTransaction(
                        mDispatcher, queue, connection, request.request(), result.term(), mClock);
        String id = mTransactions.add(transaction);
        request.succeed(mAnswerFactory.transactionAnswer(id));
    }

    private void onRefusal(InFlightRequest inFlight, TargetRefusal refusal) {
        PendingRequest request = inFlight.request();
        if (request.request().operation() == Operation.COMMIT
                && refusal.reason() == RefusalReason.BAD_STATEMENT) {
            failUnknownCommit(request);
            return;
        }
        FailureCause cause = causeOf(refusal.reason());
        boolean isWrongServer = cause == FailureCause.BEHIND || cause == FailureCause.WRONG_SERVER;
        if (isWrongServer) {
            request.exclude(inFlight.queue().server());
        }
        String detail = refusal.message().isEmpty() ? "" : ": " + refusal.message();
        mDispatcher.retryOrFail(
                request,
                cause,
                refusal.verdict(),
                refusal.reason().code(),
                "the server refused the request (" + refusal.reason().wireName() + ")" + detail);
    }

    /**
     * Fails a retried commit that the primary does not know.
     *
     * <p>An earlier attempt may still arrive at the primary, so the commit may have run.
     */
    private static void failUnknownCommit(PendingRequest request) {
        request.fail(
                new PlantainferryException(
                        ErrorCode.TRANSACTION_LOST,
                        "the transaction is not open and its commit is not known",
                        Verdict.MAY_HAVE_RUN,
                        0,
                        null));
    }

    static FailureCause causeOf(RefusalReason reason) {
        return switch (reason) {
            case STALE_TERM, NOT_PRIMARY, LEAVING -> FailureCause.WRONG_SERVER;
            case BEHIND -> FailureCause.BEHIND;
            case BUSY, TOO_MANY_CONNECTIONS -> FailureCause.BUSY;
            case UNCONFIRMED -> FailureCause.UNCONFIRMED;
            case BAD_STATEMENT -> FailureCause.REQUEST_REJECTED;
            default -> FailureCause.CONNECTION_LOST;
        };
    }

    /**
     * Closes the connections of writes that are in flight to any server other than the primary.
     *
     * <p>A primary of an earlier term can no longer confirm a write, so waiting for its response
     * only delays the verdict. Does nothing while the primary is unknown.
     */
    void abandonWritesExceptAt(Optional<ServerId> primary) {
        List<TargetConnection> abandoned = new ArrayList<>();
        mInFlight.forEach(
                (connection, inFlight) -> {
                    boolean isWrite = inFlight.request().request().kind() == StatementKind.WRITE;
                    boolean isElsewhere =
                            primary.isPresent() && !primary.get().equals(inFlight.queue().server());
                    if (isWrite && isElsewhere) {
                        abandoned.add(connection);
                    }
                });
        abandoned.forEach(TargetConnection::close);
    }
}
