package org.plantainferry.daemon.traffic;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.Verdict;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.engine.retry.FailedAttempt;
import org.plantainferry.engine.retry.FailureCause;
import org.plantainferry.engine.routing.ReadRequirement;
import org.plantainferry.engine.routing.WriteRequirement;
import org.plantainferry.engine.session.SessionRequirement;

/**
 * Follows one request on its way through a lane; owned by the lane's event loop.
 *
 * <p>The first answer counts; later ones are ignored, so a request is answered exactly once.
 */
final class PendingRequest {
    private final CallerRequest mRequest;
    private final SessionRequirement mSession;
    private final CompletableFuture<CallerAnswer> mAnswer = new CompletableFuture<>();
    private final Set<ServerId> mExcludedServers = new HashSet<>();
    private Verdict mVerdict = Verdict.NOT_RUN;
    private int mAttempts;
    private long mWaitedNanos;
    private long mMinimumPosition;
    private boolean mWaiting;

    PendingRequest(CallerRequest request) {
        mRequest = request;
        mSession = SessionRequirement.of(request.session(), request.workspace(), request.service());
    }

    CallerRequest request() {
        return mRequest;
    }

    SessionRequirement session() {
        return mSession;
    }

    CompletableFuture<CallerAnswer> answer() {
        return mAnswer;
    }

    boolean isAnswered() {
        return mAnswer.isDone();
    }

    Set<ServerId> excludedServers() {
        return mExcludedServers;
    }

    void exclude(ServerId server) {
        mExcludedServers.add(server);
    }

    void clearExcluded() {
        mExcludedServers.clear();
    }

    long minimumPosition() {
        return mMinimumPosition;
    }

    void setMinimumPosition(long position) {
        mMinimumPosition = position;
    }

    /** Returns whether the request waits to be routed again, and has not been meanwhile. */
    boolean isWaiting() {
        return mWaiting;
    }

    void setWaiting(boolean waiting) {
        mWaiting = waiting;
    }

    int attempts() {
        return mAttempts;
    }

    void countAttempt() {
        mAttempts++;
    }

    void addWaitedNanos(long nanos) {
        mWaitedNanos += nanos;
    }

    long remainingMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(mRequest.deadlineNanos() - nowNanos);
    }

    ReadRequirement readRequirement() {
        LogPosition minimum = mSession.minimum();
        return new ReadRequirement(
                minimum,
                mRequest.maximumAgeMillis().map(OptionalLong::of).orElse(OptionalLong.empty()),
                mRequest.deadlineNanos(),
                mWaitedNanos);
    }

    WriteRequirement writeRequirement() {
        return new WriteRequirement(
                mSession.minimum().term(), mRequest.deadlineNanos(), mWaitedNanos);
    }

    /** Notes the verdict on an attempt; a request that may have run once stays uncertain. */
    FailedAttempt failedAttempt(FailureCause cause, Verdict verdict) {
        mVerdict = mVerdict.combine(verdict);
        return new FailedAttempt(
                cause,
                mVerdict,
                mRequest.kind(),
                mRequest.idempotencyKey().isPresent(),
                false,
                Math.max(1, mAttempts),
                mRequest.deadlineNanos());
    }

    /** Returns the identifier under which the target recognises a repeat. */
    Optional<String> requestId() {
        return mRequest.idempotencyKey().map(key -> mRequest.workspace() + "/" + key);
    }

    void succeed(CallerAnswer answer) {
        mAnswer.complete(answer);
    }

    /** Answers with an error, whose verdict accounts for all attempts. */
    void fail(ErrorCode code, String message, long retryAfterMillis) {
        mAnswer.complete(
                CallerAnswer.refusal(
                        new PlantainferryException(
                                code, message, mVerdict, retryAfterMillis, null)));
    }

    void fail(PlantainferryException error) {
        mVerdict = mVerdict.combine(error.verdict());
        fail(error.code(), error.getMessage(), error.retryAfterMillis());
    }
}
