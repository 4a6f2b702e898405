package org.plantainferry.gateway.traffic;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.engine.catalog.ReadGuarantee;
import org.plantainferry.engine.freshness.TimedPosition;
import org.plantainferry.engine.sessionstate.ConnectionStep;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.statement.FailureCode;
import org.plantainferry.gateway.statement.SessionMode;
import org.plantainferry.gateway.statement.Statement;

/**
 * Looks for one connection, at one server after the other, until the deadline.
 *
 * <p>Used by the traffic thread only.
 */
final class BindAttempt {
    private static final long PRIMARY_POLL_MILLIS = 20;
    private static final long RETRY_AFTER_NO_PRIMARY_MILLIS = 400;
    private static final long RETRY_AFTER_BUSY_MILLIS = 150;
    private static final long RETRY_AFTER_CUT_OFF_MILLIS = 600;
    private static final long CUT_OFF_PATIENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(80);
    private static final long ALL_REFUSED_PAUSE_MILLIS = 15;
    // Below this a position of another instance would be too old when it arrives.
    private static final long LEAST_SHARED_AGE_MILLIS = 50;
    private static final long AGE_ROUNDING_MILLIS = 2;
    private static final long BUSY_AVOIDANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final Binder mBinder;
    private final BindRequest mRequest;
    private final Set<String> mExcluded;
    private final Consumer<BindResult> mCallback;
    private final GroupState mGroup;
    private String mLastReason = "no server is known";

    BindAttempt(
            Binder binder,
            BindRequest request,
            Set<String> excluded,
            Consumer<BindResult> callback) {
        mBinder = binder;
        mRequest = request;
        mExcluded = excluded;
        mCallback = callback;
        mGroup = binder.group(request.route().service());
    }

    void start() {
        if (mRequest.purpose().isAtPrimary()) {
            bindPrimary();
        } else {
            bindRead();
        }
    }

    private long remainingMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mRequest.deadlineNanos() - mBinder.now());
    }

    private void refuse(long retryAfterMillis) {
        GatewayEvent.REQUEST_UNPLACED.log(
                mRequest.requestId(), mRequest.purpose(), mRequest.route().service(), mLastReason);
        mCallback.accept(BindResult.refused(mLastReason, retryAfterMillis));
    }

    private void bindPrimary() {
        if (remainingMillis() <= 0) {
            refuse(RETRY_AFTER_NO_PRIMARY_MILLIS);
            return;
        }
        Optional<ServerPool> primary = mGroup.primary(mBinder.now());
        if (isCutOff()) {
            refuseCutOff();
            return;
        }
        if (primary.isEmpty() || primary.get().health().isAvoided(mBinder.now())) {
            mLastReason = primary.isEmpty() ? "no primary is known" : "the primary does not answer";
            primary.ifPresent(mBinder::suspect);
            mBinder.later(PRIMARY_POLL_MILLIS, this::bindPrimary);
            return;
        }
        acquire(primary.get(), Optional.empty());
    }

    /** Returns whether this instance has been cut off from the others for more than a moment. */
    private boolean isCutOff() {
        long waited = mBinder.now() - mRequest.arrivedNanos();
        return !mBinder.mayUsePrimary(mRequest.route().service())
                && waited >= CUT_OFF_PATIENCE_NANOS;
    }

    /** Refuses at once, because the caller can be served sooner by another instance. */
    private void refuseCutOff() {
        mLastReason = "this instance reaches neither most others nor the store";
        refuse(RETRY_AFTER_CUT_OFF_MILLIS);
    }

    private void bindRead() {
        if (remainingMillis() <= 0) {
            refuse(RETRY_AFTER_BUSY_MILLIS);
            return;
        }
        Optional<LogPosition> covering =
                mGroup.samples().covering(mRequest.arrivedNanos() - maximumAgeNanos());
        if (covering.isEmpty() && isCutOff()) {
            refuseCutOff();
            return;
        }
        if (covering.isEmpty()) {
            awaitSample();
            return;
        }
        placeRead(Optional.of(required(covering.get())));
    }

    private LogPosition required(LogPosition covering) {
        if (mRequest.route().guarantee() != ReadGuarantee.SESSION) {
            return covering;
        }
        // A position of a later term covers every surviving commit of earlier terms.
        return mRequest.sessionPosition()
                .filter(position -> position.compareTo(covering) > 0)
                .orElse(covering);
    }

    private void awaitSample() {
        if (mGroup.awaitSample(this::bindRead)) {
            return;
        }
        mLastReason = "the position of the primary is not known";
        mGroup.beginSample();
        long since = mRequest.arrivedNanos() - maximumAgeNanos();
        long ageMillis = TimeUnit.NANOSECONDS.toMillis(mBinder.now() - since) - AGE_ROUNDING_MILLIS;
        if (ageMillis <= LEAST_SHARED_AGE_MILLIS || !mGroup.sharesSamples(mBinder.now())) {
            sample();
            return;
        }
        mBinder.positions().requestPosition(mRequest.route().service(), ageMillis, this::onShared);
    }

    private long maximumAgeNanos() {
        return TimeUnit.MILLISECONDS.toNanos(mRequest.route().maximumAgeMillis());
    }

    private void onShared(Optional<TimedPosition> shared) {
        if (shared.isEmpty()) {
            sample();
            return;
        }
        mGroup.samples().record(shared.get().sentNanos(), shared.get().position());
        afterSample(true);
    }

    private void sample() {
        new PrimarySampler(mBinder, mRequest, mGroup).start(this::afterSample);
    }

    private void afterSample(boolean taken) {
        mGroup.endSample();
        if (taken) {
            bindRead();
            return;
        }
        mBinder.later(PRIMARY_POLL_MILLIS, this::bindRead);
    }

    private void placeRead(Optional<LogPosition> required) {
        Optional<ServerPool> pool =
                mGroup.chooseForRead(
                        mBinder.placement(),
                        mRequest.workspace(),
                        required,
                        mExcluded,
                        mBinder.now());
        if (pool.isEmpty() && mRequest.hedge()) {
            mCallback.accept(BindResult.refused("no other server can answer", 0));
            return;
        }
        if (pool.isEmpty()) {
            // Every server refused or is behind; their state may have changed after a pause.
            mLastReason = "every server refused the statement or lacks its position";
            mExcluded.clear();
            mBinder.later(ALL_REFUSED_PAUSE_MILLIS, this::bindRead);
            return;
        }
        // A second attempt for the same statement must not wait for the same server.
        mExcluded.add(pool.get().server().id());
        acquire(pool.get(), required);
    }

    private void acquire(ServerPool pool, Optional<LogPosition> required) {
        pool.acquire(
                mRequest.workspace(),
                mRequest.session(),
                mRequest.needed(),
                Math.max(1, remainingMillis()),
                answer -> onAcquired(pool, required, answer));
    }

    private void onAcquired(ServerPool pool, Optional<LogPosition> required, PoolAnswer answer) {
        if (answer.link().isEmpty()) {
            mLastReason = answer.reason();
            if (mRequest.purpose().isAtPrimary() && pool.health().failures() > 0) {
                mBinder.suspect(pool);
            }
            tryElsewhere(pool);
            return;
        }
        prepare(new BoundLink(pool, answer.link().get(), required));
    }

    /** Goes on at another server, or at the primary after a pause. */
    private void tryElsewhere(ServerPool pool) {
        if (mRequest.purpose().isAtPrimary()) {
            mBinder.later(PRIMARY_POLL_MILLIS, this::bindPrimary);
            return;
        }
        bindRead();
    }

    private void prepare(BoundLink bound) {
        List<ConnectionStep> steps =
                bound.link().contents().plan(mRequest.session(), mRequest.needed());
        if (steps.isEmpty()) {
            begin(bound);
            return;
        }
        LinkPreparation.run(
                bound.link(),
                steps,
                succeeded -> {
                    if (succeeded) {
                        begin(bound);
                        return;
                    }
                    mLastReason = "the connection could not be prepared";
                    bound.link().close(mLastReason);
                    tryElsewhere(bound.pool());
                });
    }

    private void begin(BoundLink bound) {
        if (!mRequest.purpose().isInTransaction()) {
            mCallback.accept(BindResult.ready(bound));
            return;
        }
        boolean readOnly = mRequest.purpose() == BindPurpose.READ_TRANSACTION;
        long sent = mBinder.now();
        mBinder.send(
                bound,
                mRequest.purpose(),
                Optional.empty(),
                bound.required(),
                new Statement.Begin(readOnly),
                reply -> onBegun(bound, sent, reply));
    }

    private void onBegun(BoundLink bound, long sentNanos, ServerReply reply) {
        long now = mBinder.now();
        if (reply.isDone() && reply.mode() == SessionMode.TRANSACTION) {
            bound.pool().health().onSignOfLife(now);
            if (mRequest.purpose().isAtPrimary()) {
                reply.position().ifPresent(each -> mGroup.samples().record(sentNanos, each));
            }
            mCallback.accept(BindResult.ready(bound));
            return;
        }
        mLastReason = "the server refused the transaction: " + reply.code() + " " + reply.text();
        noteRefusal(bound.pool(), reply, now);
        giveBack(bound, reply);
        tryElsewhere(bound.pool());
    }

    /** Returns a connection to its pool when its state is certain, and closes it otherwise. */
    static void giveBack(BoundLink bound, ServerReply reply) {
        if (!reply.isLost() && reply.mode() == SessionMode.IDLE) {
            bound.pool().release(bound.link());
            return;
        }
        if (reply.isLost()) {
            bound.link().close("the state of the connection is unknown");
            return;
        }
        rollBack(bound);
    }

    /** Ends the transaction on a connection and returns the connection to its pool. */
    static void rollBack(BoundLink bound) {
        bound.link()
                .send(
                        Optional.empty(),
                        Optional.empty(),
                        new Statement.Rollback(),
                        reply -> {
                            if (reply.isDone() && reply.mode() == SessionMode.IDLE) {
                                bound.pool().release(bound.link());
                            } else {
                                bound.link().close("the rollback was not confirmed");
                            }
                        });
    }

    /** Learns from an answer that says that nothing was run, or from a lost one. */
    static void noteRefusal(ServerPool pool, ServerReply reply, long nowNanos) {
        reply.position().ifPresent(each -> pool.health().onPosition(nowNanos, each));
        if (reply.isLost()) {
            pool.health().onFailure(nowNanos);
        } else if (reply.code() == FailureCode.NOT_PRIMARY) {
            pool.health().onDeposed(nowNanos);
            GatewayEvent.PRIMARY_REFUSED.log(pool.server().service(), pool.server().id());
        } else if (reply.code() == FailureCode.BEHIND) {
            pool.health().onBehind();
        } else if (reply.code() == FailureCode.BUSY) {
            pool.health().avoid(nowNanos, BUSY_AVOIDANCE_NANOS);
        }
    }
}
