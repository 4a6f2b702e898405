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

/** Sends queued requests to servers and interprets the answers; owned by the lane's event loop. */
final class StatementSender {
    /** The time of a first attempt that can be repeated; far above an ordinary statement's. */
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
            ServerRequestQueue server, PendingRequest request, long sentNanos) {}

    StatementSender(
            ServiceDispatcher lane,
            EventLoop loop,
            LongSupplier clock,
            AcknowledgementCheck check,
            TransactionRegistry transactions,
            CallerAnswerFactory answers) {
        mDispatcher = lane;
        mEventLoop = loop;
        mClock = clock;
        mAcknowledgementCheck = check;
        mTransactions = transactions;
        mAnswerFactory = answers;
    }

    AcknowledgementCheck acknowledgementCheck() {
        return mAcknowledgementCheck;
    }

    CallerAnswerFactory answerFactory() {
        return mAnswerFactory;
    }

    /** Sends a request on a connection that was taken for it. */
    void send(ServerRequestQueue server, PendingRequest request, TargetConnection connection) {
        long now = mClock.getAsLong();
        Optional<PlantainferryException> refusal = refusalBeforeSending(server, request, now);
        if (refusal.isPresent()) {
            server.release(connection);
            server.concurrencyLimit().release(ConcurrencyLimit.Outcome.FAILED, 0, now);
            request.fail(refusal.get());
            return;
        }
        request.countAttempt();
        InFlightRequest inFlight = new InFlightRequest(server, request, now);
        mInFlight.put(connection, inFlight);
        connection
                .send(toTargetRequest(request), timeoutMillis(request, now))
                .whenCompleteAsync(
                        (response, failure) -> onCompleted(connection, inFlight, response, failure),
                        mEventLoop);
    }

    private Optional<PlantainferryException> refusalBeforeSending(
            ServerRequestQueue server, PendingRequest request, long now) {
        if (request.remainingMillis(now) <= 0) {
            return Optional.of(
                    new PlantainferryException(
                            ErrorCode.DEADLINE_EXCEEDED, "the deadline passed in the queue"));
        }
        if (request.request().operation() == Operation.BEGIN && !server.connections().canPin()) {
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
        long remaining = request.remainingMillis(now);
        boolean isRepeatable =
                request.request().isIdempotent()
                        || request.request().operation() == Operation.BEGIN;
        if (!isRepeatable) {
            return remaining;
        }
        // A first attempt is short, so that a server that went silent costs little; later ones
        // leave a slow statement the time it needs.
        long part = request.attempts() <= 1 ? FIRST_ATTEMPT_TIMEOUT_MILLIS : remaining / 2;
        return Math.min(remaining, Math.max(FIRST_ATTEMPT_TIMEOUT_MILLIS, part));
    }

    private void onCompleted(
            TargetConnection connection,
            InFlightRequest inFlight,
            TargetResponse response,
            Throwable failure) {
        mInFlight.remove(connection);
        long now = mClock.getAsLong();
        long latency = now - inFlight.sentNanos();
        if (failure != null) {
            inFlight.server()
                    .concurrencyLimit()
                    .release(ConcurrencyLimit.Outcome.FAILED, latency, now);
            inFlight.server().discard(connection);
            onFailure(inFlight, failure);
        } else {
            mDispatcher.routingState().observeLatency(inFlight.server().server(), latency, now);
            onResponse(connection, inFlight, response, latency, now);
        }
        inFlight.server().dispatchWaiting();
    }

    private void onFailure(InFlightRequest inFlight, Throwable failure) {
        ServerId server = inFlight.server().server();
        mDispatcher.routingState().observeFailure(server, mClock.getAsLong());
        mDispatcher.listener().onStatementFailed(mDispatcher.service().name(), server);
        Verdict verdict = verdictOf(failure);
        PendingRequest request = inFlight.request();
        request.exclude(server);
        // An unfinished transaction is rolled back with its connection.
        boolean isBegin = request.request().operation() == Operation.BEGIN;
        Verdict effective = isBegin ? Verdict.NOT_RUN : verdict;
        mDispatcher.retryOrFail(
                request,
                FailureCause.CONNECTION_LOST,
                effective,
                connectionLostCode(request, effective),
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
            long latency,
            long now) {
        ServerRequestQueue server = inFlight.server();
        StatementAnswer answer = TargetProtocol.readStatementAnswer(response);
        if (answer instanceof StatementResult result) {
            server.concurrencyLimit().release(ConcurrencyLimit.Outcome.ANSWERED, latency, now);
            observe(server.server(), result, now);
            onResult(connection, inFlight, result);
            return;
        }
        TargetRefusal refusal = (TargetRefusal) answer;
        boolean isBusy = refusal.reason() == RefusalReason.BUSY;
        server.concurrencyLimit()
                .release(
                        isBusy ? ConcurrencyLimit.Outcome.BUSY : ConcurrencyLimit.Outcome.ANSWERED,
                        latency,
                        now);
        releaseAfterRefusal(refusal, server, connection);
        observe(server.server(), refusal, now);
        onRefusal(inFlight, refusal);
    }

    private static void releaseAfterRefusal(
            TargetRefusal refusal, ServerRequestQueue server, TargetConnection connection) {
        boolean isStateUnknown =
                refusal.reason() == RefusalReason.UNREADABLE
                        || refusal.reason() == RefusalReason.TOO_MANY_CONNECTIONS;
        if (isStateUnknown) {
            server.discard(connection);
        } else {
            server.release(connection);
        }
    }

    private void observe(ServerId server, StatementResult result, long now) {
        long term = mDispatcher.routingState().term();
        Optional<ServerId> primary = mDispatcher.routingState().primary();
        mDispatcher
                .routingState()
                .observeAnswer(
                        server,
                        result.role(),
                        result.term(),
                        result.position(),
                        result.lagMillis().orElse(0L),
                        now);
        mDispatcher.reportPrimaryChange(term, primary);
    }

    private void observe(ServerId server, TargetRefusal refusal, long now) {
        if (refusal.term().isEmpty()) {
            return;
        }
        long term = mDispatcher.routingState().term();
        Optional<ServerId> primary = mDispatcher.routingState().primary();
        mDispatcher
                .routingState()
                .observeRefusal(
                        server,
                        refusal.term().get(),
                        refusal.position().orElse(0L),
                        refusal.reason() == RefusalReason.LEAVING,
                        refusal.reason() == RefusalReason.NOT_PRIMARY,
                        now);
        mDispatcher.reportPrimaryChange(term, primary);
    }

    private void onResult(
            TargetConnection connection, InFlightRequest inFlight, StatementResult result) {
        PendingRequest request = inFlight.request();
        ServerRequestQueue server = inFlight.server();
        if (request.request().operation() == Operation.BEGIN) {
            startTransaction(connection, server, request, result);
            return;
        }
        server.release(connection);
        if (request.request().kind() == StatementKind.READ) {
            onReadResult(server, request, result);
            return;
        }
        mAcknowledgementCheck.decide(
                mDispatcher.service(),
                result.term(),
                inFlight.sentNanos(),
                pass -> onWriteResult(server, request, result, pass));
    }

    private void onReadResult(
            ServerRequestQueue server, PendingRequest request, StatementResult result) {
        boolean isTooOld =
                request.request()
                        .maximumAgeMillis()
                        .map(most -> result.lagMillis().orElse(0L) > most)
                        .orElse(false);
        if (isTooOld || !request.session().isSatisfiedBy(result.logPosition())) {
            request.exclude(server.server());
            mDispatcher.retryOrFail(
                    request,
                    FailureCause.BEHIND,
                    Verdict.NOT_RUN,
                    ErrorCode.TARGET_UNAVAILABLE,
                    "no server has reached the position that the session has seen");
            return;
        }
        request.succeed(mAnswerFactory.statementAnswer(request.session(), server.server(), result));
    }

    private void onWriteResult(
            ServerRequestQueue server,
            PendingRequest request,
            StatementResult result,
            boolean pass) {
        if (pass) {
            request.succeed(
                    mAnswerFactory.statementAnswer(request.session(), server.server(), result));
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
            ServerRequestQueue server,
            PendingRequest request,
            StatementResult result) {
        if (request.isAnswered() || !server.connections().canPin()) {
            server.discard(connection);
            request.fail(tooManyTransactions());
            return;
        }
        server.connections().pin(connection);
        PinnedTransaction transaction =
                new PinnedTransaction(
                        mDispatcher, server, connection, request.request(), result.term(), mClock);
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
            request.exclude(inFlight.server().server());
        }
        String detail = refusal.message().isEmpty() ? "" : ": " + refusal.message();
        mDispatcher.retryOrFail(
                request,
                cause,
                refusal.verdict(),
                refusal.reason().code(),
                "the server refused the request (" + refusal.reason().wireName() + ")" + detail);
    }

    /** The primary does not know the commit, but an earlier attempt may still be on its way. */
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
     * Ends writes that wait for a primary of an earlier term.
     *
     * <p>Such a primary can confirm nothing any more, so waiting for its answer only delays the
     * verdict.
     */
    void abandonWritesExceptAt(Optional<ServerId> primary) {
        List<TargetConnection> abandoned = new ArrayList<>();
        mInFlight.forEach(
                (connection, inFlight) -> {
                    boolean isWrite = inFlight.request().request().kind() == StatementKind.WRITE;
                    boolean isElsewhere =
                            primary.isPresent()
                                    && !primary.get().equals(inFlight.server().server());
                    if (isWrite && isElsewhere) {
                        abandoned.add(connection);
                    }
                });
        abandoned.forEach(TargetConnection::close);
    }
}
