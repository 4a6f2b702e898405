package org.plantainferry.daemon.traffic;

import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Verdict;
import org.plantainferry.engine.configuration.KeyReference;
import org.plantainferry.engine.session.SessionRequirement;
import org.plantainferry.network.target.RefusalReason;
import org.plantainferry.network.target.StatementAnswer;
import org.plantainferry.network.target.StatementResult;
import org.plantainferry.network.target.TargetConnection;
import org.plantainferry.network.target.TargetProtocol;
import org.plantainferry.network.target.TargetRefusal;
import org.plantainferry.network.target.TargetRequest;
import org.plantainferry.network.target.TargetResponse;

/**
 * Holds an open transaction and the connection that belongs to it alone.
 *
 * <p>Its methods run on the event loop of its lane. One statement runs at a time. When the
 * connection is lost before the commit, the target rolls the transaction back.
 */
final class PinnedTransaction {
    private final ServiceDispatcher mDispatcher;
    private final ServerRequestQueue mServerQueue;
    private final TargetConnection mConnection;
    private final CallerRequest mBeginRequest;
    private final long mTerm;
    private final LongSupplier mClock;
    private Runnable mOnEnd = () -> {};
    private boolean mStatementRunning;
    private boolean mEnded;
    private long mLastUsedNanos;

    PinnedTransaction(
            ServiceDispatcher lane,
            ServerRequestQueue server,
            TargetConnection connection,
            CallerRequest begin,
            long term,
            LongSupplier clock) {
        mDispatcher = lane;
        mServerQueue = server;
        mConnection = connection;
        mBeginRequest = begin;
        mTerm = term;
        mClock = clock;
        mLastUsedNanos = clock.getAsLong();
    }

    void setOnEnd(Runnable removal) {
        mOnEnd = removal;
    }

    ServiceDispatcher dispatcher() {
        return mDispatcher;
    }

    /** Returns whether the request comes from the workspace that began the transaction. */
    boolean belongsTo(CallerRequest request) {
        return mBeginRequest.workspace().equals(request.workspace())
                && mBeginRequest.service().equals(request.service());
    }

    boolean usesAnyKeyOf(Set<KeyReference> keys) {
        return mBeginRequest
                .keyId()
                .map(id -> keys.contains(new KeyReference(mBeginRequest.workspace(), id)))
                .orElse(false);
    }

    boolean isIdle(long olderThanNanos, long nowNanos) {
        return !mStatementRunning && nowNanos - mLastUsedNanos > olderThanNanos;
    }

    /** Runs a statement, the commit or the rollback. */
    void execute(PendingRequest request) {
        if (mEnded || !mConnection.isOpen()) {
            end(false);
            request.fail(ErrorCode.TRANSACTION_LOST, "the transaction was rolled back", 0);
            return;
        }
        if (mStatementRunning) {
            request.fail(ErrorCode.REQUEST_MALFORMED, "the transaction runs another statement", 0);
            return;
        }
        long now = mClock.getAsLong();
        if (request.remainingMillis(now) <= 0) {
            request.fail(ErrorCode.DEADLINE_EXCEEDED, "the deadline passed", 0);
            return;
        }
        try {
            mDispatcher.authenticator().verifyStillValid(request.request());
        } catch (PlantainferryException e) {
            request.fail(e);
            return;
        }
        mStatementRunning = true;
        request.countAttempt();
        mConnection
                .send(toTargetRequest(request), request.remainingMillis(now))
                .whenCompleteAsync(
                        (response, failure) -> onCompleted(request, now, response, failure),
                        mDispatcher.eventLoop());
    }

    private TargetRequest toTargetRequest(PendingRequest request) {
        return switch (request.request().operation()) {
            case COMMIT -> TargetProtocol.commit(mTerm, request.requestId());
            case ROLLBACK -> TargetProtocol.rollback();
            default ->
                    TargetProtocol.statement(
                            request.request().kind(),
                            request.request().statement(),
                            mTerm,
                            0,
                            Optional.empty());
        };
    }

    private void onCompleted(
            PendingRequest request, long sentNanos, TargetResponse response, Throwable failure) {
        mStatementRunning = false;
        mLastUsedNanos = mClock.getAsLong();
        Operation operation = request.request().operation();
        if (failure != null) {
            end(false);
            failLost(request, StatementSender.verdictOf(failure));
            return;
        }
        StatementAnswer answer = TargetProtocol.readStatementAnswer(response);
        if (answer instanceof StatementResult result) {
            if (operation != Operation.TRANSACTION_STATEMENT) {
                end(true);
            }
            succeed(request, sentNanos, result);
            return;
        }
        TargetRefusal refusal = (TargetRefusal) answer;
        boolean survives =
                operation == Operation.TRANSACTION_STATEMENT
                        && refusal.reason() == RefusalReason.BAD_STATEMENT;
        if (survives) {
            request.fail(ErrorCode.STATEMENT_INVALID, refusal.message(), 0);
            return;
        }
        end(false);
        failLost(request, refusal.verdict());
    }

    private void succeed(PendingRequest request, long sentNanos, StatementResult result) {
        if (request.request().operation() != Operation.COMMIT) {
            answer(request, result);
            return;
        }
        mDispatcher
                .sender()
                .acknowledgementCheck()
                .decide(
                        mDispatcher.service(),
                        result.term(),
                        sentNanos,
                        pass -> {
                            if (pass) {
                                answer(request, result);
                            } else {
                                failLost(request, Verdict.MAY_HAVE_RUN);
                            }
                        });
    }

    private void answer(PendingRequest request, StatementResult result) {
        SessionRequirement session = request.session();
        request.succeed(
                mDispatcher
                        .sender()
                        .answerFactory()
                        .statementAnswer(session, mServerQueue.server(), result));
    }

    /** Reports the loss; only a commit can leave the outcome of the transaction open. */
    private void failLost(PendingRequest request, Verdict verdict) {
        boolean isUncertain =
                request.request().operation() == Operation.COMMIT
                        && verdict == Verdict.MAY_HAVE_RUN;
        request.fail(
                new PlantainferryException(
                        isUncertain ? ErrorCode.OUTCOME_UNKNOWN : ErrorCode.TRANSACTION_LOST,
                        isUncertain
                                ? "the commit was not confirmed"
                                : "the transaction was rolled back",
                        verdict,
                        0,
                        null));
    }

    /** Ends the transaction from outside: its key was withdrawn, or it was idle for too long. */
    void abort() {
        end(false);
    }

    private void end(boolean isConnectionClean) {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mOnEnd.run();
        if (isConnectionClean) {
            mServerQueue.release(mConnection);
        } else {
            mServerQueue.discard(mConnection);
        }
        mServerQueue.dispatchWaiting();
    }
}
