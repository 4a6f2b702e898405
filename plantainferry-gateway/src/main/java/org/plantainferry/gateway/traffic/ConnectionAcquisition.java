package org.plantainferry.gateway.traffic;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.engine.catalog.ReadGuarantee;
import org.plantainferry.engine.freshness.TimedPosition;
import org.plantainferry.engine.placement.ReadDemand;
import org.plantainferry.engine.sessionstate.ConnectionSetupStep;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.statement.FailureCode;
import org.plantainferry.gateway.statement.SessionMode;
import org.plantainferry.gateway.statement.Statement;

/**
 * Acquires one connection, trying one server after another until the deadline.
 *
 * <p>Not thread-safe: used by the traffic thread only.
 */
final class ConnectionAcquisition {
    private static final long PRIMARY_POLL_MILLIS = 20;
    private static final long RETRY_AFTER_NO_PRIMARY_MILLIS = 400;
    private static final long RETRY_AFTER_BUSY_MILLIS = 150;
    private static final long RETRY_AFTER_ISOLATED_MILLIS = 600;
    private static final long RETRY_AFTER_LOST_PRIMARY_MILLIS = 1_000;
    // The time that a replacement of the primary takes, from its claim to the first statement.
    private static final long RETRY_AFTER_EVACUATED_MILLIS = 1_000;
    private static final long ISOLATION_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(80);
    private static final long NO_CANDIDATE_RETRY_MILLIS = 15;
    // With a lower maximum age, a position from another instance would be too old on arrival.
    private static final long MIN_PEER_POSITION_AGE_MILLIS = 50;
    private static final long AGE_ROUNDING_MILLIS = 2;
    private static final long BUSY_AVOIDANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final ConnectionBroker mBroker;
    private final ConnectionRequest mRequest;
    private final Set<String> mExcluded;
    private final Consumer<PreparedConnectionResult> mCallback;
    private final ServerGroup mGroup;
    private String mLastReason = "no server is known";
    private Optional<Long> mRetryAfterBacklogMillis = Optional.empty();
    private Optional<Runnable> mCancellation = Optional.empty();
    private boolean mCancelled;

    ConnectionAcquisition(
            ConnectionBroker broker,
            ConnectionRequest request,
            Set<String> excluded,
            Consumer<PreparedConnectionResult> callback) {
        mBroker = broker;
        mRequest = request;
        mExcluded = excluded;
        mCallback = callback;
        mGroup = broker.group(request.route().service());
    }

    void start() {
        if (mRequest.purpose().isAtPrimary()) {
            acquireAtPrimary();
        } else {
            acquireForRead();
        }
    }

    /**
     * Ends the wait for a server or a connection, without a call of the callback. An acquisition
     * that has its connection goes on, and hands it over.
     */
    void cancel() {
        mCancelled = true;
        mCancellation.ifPresent(Runnable::run);
        mCancellation = Optional.empty();
    }

    /** Runs a step at the next event or after a pause, unless the deadline passes until then. */
    private void await(long millis, long retryAfterMillis, Runnable step) {
        if (remainingMillis() <= millis) {
            refuse(retryAfterMillis);
            return;
        }
        PlacementWaitingList.Entry entry =
                mBroker.waitingList().await(mRequest.urgency(), millis, step);
        mCancellation = Optional.of(() -> mBroker.waitingList().cancel(entry));
    }

    private long remainingMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mRequest.deadlineNanos() - mBroker.now());
    }

    private void refuse(long retryAfterMillis) {
        GatewayEvent.REQUEST_UNPLACED.log(
                mRequest.requestId(), mRequest.purpose(), mRequest.route().service(), mLastReason);
        mCallback.accept(PreparedConnectionResult.refused(mLastReason, retryAfterMillis));
    }

    private void acquireAtPrimary() {
        if (mCancelled) {
            return;
        }
        if (remainingMillis() <= 0) {
            refuse(RETRY_AFTER_NO_PRIMARY_MILLIS);
            return;
        }
        if (mGroup.isPrimaryEvacuated()) {
            refuseEvacuated();
            return;
        }
        Optional<ServerConnectionPool> primary = mGroup.usablePrimary(mBroker.now());
        if (isIsolated()) {
            refuseIsolated();
            return;
        }
        if (isUnusable(primary) && mBroker.isPrimaryLost(mRequest.route().service())) {
            refuseWithoutPrimary();
            return;
        }
        if (isUnusable(primary)) {
            mLastReason = primary.isEmpty() ? "no primary is known" : "the primary does not answer";
            primary.ifPresent(mBroker::reportSuspectedPrimary);
            await(PRIMARY_POLL_MILLIS, RETRY_AFTER_NO_PRIMARY_MILLIS, this::acquireAtPrimary);
            return;
        }
        acquireFromPool(primary.get(), Optional.empty());
    }

    /**
     * Returns whether this instance holds no primary lease and the request has waited for the grace
     * period.
     */
    private boolean isIsolated() {
        long waited = mBroker.now() - mRequest.arrivedNanos();
        return !mBroker.holdsPrimaryLease(mRequest.route().service())
                && waited >= ISOLATION_GRACE_NANOS;
    }

    private boolean isUnusable(Optional<ServerConnectionPool> primary) {
        return primary.isEmpty() || primary.get().health().isAvoided(mBroker.now());
    }

    /**
     * Refuses without waiting for the deadline, because no replica may be promoted in place of the
     * lost primary.
     */
    private void refuseWithoutPrimary() {
        mLastReason = "the primary is lost, and the replicas with all commits do not answer";
        refuse(RETRY_AFTER_LOST_PRIMARY_MILLIS);
    }

    /** Refuses without waiting for the deadline, because no other server can stand in. */
    private void refuseEvacuated() {
        mLastReason = "the failure domain of the server is evacuated";
        refuse(RETRY_AFTER_EVACUATED_MILLIS);
    }

    /**
     * Refuses without waiting for the deadline, because another instance can serve the caller
     * sooner.
     */
    private void refuseIsolated() {
        mLastReason = "this instance reaches neither most others nor the store";
        refuse(RETRY_AFTER_ISOLATED_MILLIS);
    }

    private void acquireForRead() {
        if (mCancelled) {
            return;
        }
        if (remainingMillis() <= 0) {
            refuse(mRetryAfterBacklogMillis.orElse(RETRY_AFTER_BUSY_MILLIS));
            return;
        }
        if (mGroup.isWhollyEvacuated()) {
            refuseEvacuated();
            return;
        }
        Optional<LogPosition> covering =
                mGroup.samples().positionCovering(mRequest.arrivedNanos() - maximumAgeNanos());
        if (covering.isEmpty() && isIsolated()) {
            refuseIsolated();
            return;
        }
        boolean isPrimaryLost =
                mBroker.isPrimaryLost(mRequest.route().service())
                        && isUnusable(mGroup.usablePrimary(mBroker.now()));
        if (covering.isEmpty() && isPrimaryLost) {
            refuseWithoutPrimary();
            return;
        }
        if (covering.isEmpty()) {
            awaitPrimaryPosition();
            return;
        }
        chooseReadServer(Optional.of(requiredPosition(covering.get())));
    }

    private LogPosition requiredPosition(LogPosition covering) {
        if (mRequest.route().guarantee() != ReadGuarantee.SESSION) {
            return covering;
        }
        // A position of a later term covers every surviving commit of earlier terms.
        return mRequest.sessionPosition()
                .filter(position -> position.compareTo(covering) > 0)
                .orElse(covering);
    }

    private void awaitPrimaryPosition() {
        if (mGroup.awaitRunningSample(mRequest.urgency(), this::acquireForRead)) {
            return;
        }
        mLastReason = "the position of the primary is not known";
        mGroup.beginSample();
        long since = mRequest.arrivedNanos() - maximumAgeNanos();
        long ageMillis = TimeUnit.NANOSECONDS.toMillis(mBroker.now() - since) - AGE_ROUNDING_MILLIS;
        if (ageMillis <= MIN_PEER_POSITION_AGE_MILLIS || !mGroup.sharesPositions(mBroker.now())) {
            samplePrimary();
            return;
        }
        mBroker.peerPositions()
                .requestPosition(mRequest.route().service(), ageMillis, this::onPeerPosition);
    }

    private long maximumAgeNanos() {
        return TimeUnit.MILLISECONDS.toNanos(mRequest.route().maximumAgeMillis());
    }

    private void onPeerPosition(Optional<TimedPosition> shared) {
        if (shared.isEmpty()) {
            samplePrimary();
            return;
        }
        mGroup.samples().record(shared.get().sentNanos(), shared.get().position());
        onSampleEnded(true);
    }

    private void samplePrimary() {
        new PrimaryPositionSampler(mBroker, mRequest, mGroup).start(this::onSampleEnded);
    }

    private void onSampleEnded(boolean taken) {
        mGroup.endSample(mBroker.now());
        if (taken) {
            acquireForRead();
            return;
        }
        await(PRIMARY_POLL_MILLIS, RETRY_AFTER_NO_PRIMARY_MILLIS, this::acquireForRead);
    }

    private void chooseReadServer(Optional<LogPosition> required) {
        Optional<ServerConnectionPool> pool =
                mGroup.chooseForRead(
                        mBroker.placement(),
                        mRequest.workspace(),
                        new ReadDemand(
                                mRequest.workKind(),
                                required,
                                mExcluded,
                                mRequest.urgency().objectiveNanos(),
                                mRequest.purpose() == ConnectionPurpose.READ && !mRequest.hedge()),
                        mBroker.now());
        if (pool.isEmpty() && mRequest.hedge()) {
            mCallback.accept(PreparedConnectionResult.refused("no other server can answer", 0));
            return;
        }
        if (pool.isEmpty() && mRetryAfterBacklogMillis.isPresent()) {
            refuseWithoutRoom();
            return;
        }
        if (pool.isEmpty()) {
            // Every server has refused or lags behind; retry all of them after a pause.
            mLastReason = "every server refused the statement or lacks its position";
            mExcluded.clear();
            await(NO_CANDIDATE_RETRY_MILLIS, RETRY_AFTER_BUSY_MILLIS, this::acquireForRead);
            return;
        }
        // Another attempt for the same statement must not choose the same server.
        mExcluded.add(pool.get().server().id());
        acquireFromPool(pool.get(), required);
    }

    private void acquireFromPool(ServerConnectionPool pool, Optional<LogPosition> required) {
        ConnectionWaiter waiter =
                pool.acquire(mRequest, answer -> onAcquired(pool, required, answer));
        if (!waiter.isEnded()) {
            mCancellation = Optional.of(() -> pool.cancel(waiter));
        }
    }

    private void onAcquired(
            ServerConnectionPool pool,
            Optional<LogPosition> required,
            PooledConnectionResult answer) {
        if (answer.connection().isEmpty()) {
            mLastReason = answer.reason();
            answer.retryAfterMillis().ifPresent(this::recordBacklog);
            if (mRequest.purpose().isAtPrimary() && pool.health().failures() > 0) {
                mBroker.reportSuspectedPrimary(pool);
            }
            tryNextServer(pool);
            return;
        }
        prepare(
                new PreparedConnection(
                        pool, answer.connection().get(), required, Optional.empty()));
    }

    private void recordBacklog(long retryAfterMillis) {
        mRetryAfterBacklogMillis =
                Optional.of(
                        Math.min(
                                retryAfterMillis, mRetryAfterBacklogMillis.orElse(Long.MAX_VALUE)));
    }

    /** Refuses because too much waits at the servers, which logs a sum of such refusals. */
    private void refuseWithoutRoom() {
        mCallback.accept(
                PreparedConnectionResult.refused(mLastReason, mRetryAfterBacklogMillis.get()));
    }

    /** Continues with another server for a read, and with the primary after a pause otherwise. */
    private void tryNextServer(ServerConnectionPool pool) {
        boolean isAtPrimary = mRequest.purpose().isAtPrimary();
        if (isAtPrimary && mRetryAfterBacklogMillis.isPresent()) {
            refuseWithoutRoom();
            return;
        }
        if (isAtPrimary) {
            await(PRIMARY_POLL_MILLIS, RETRY_AFTER_NO_PRIMARY_MILLIS, this::acquireAtPrimary);
            return;
        }
        acquireForRead();
    }

    private void prepare(PreparedConnection prepared) {
        List<ConnectionSetupStep> steps =
                prepared.connection()
                        .state()
                        .planSetup(mRequest.sessionState(), mRequest.requiredDefinition());
        if (steps.isEmpty()) {
            beginIfNeeded(prepared);
            return;
        }
        ConnectionSetup.run(
                prepared.connection(),
                steps,
                succeeded -> {
                    if (succeeded) {
                        beginIfNeeded(prepared);
                        return;
                    }
                    mLastReason = "the connection could not be prepared";
                    prepared.connection().close(mLastReason);
                    tryNextServer(prepared.pool());
                });
    }

    private void beginIfNeeded(PreparedConnection prepared) {
        if (!mRequest.purpose().isInTransaction()) {
            mCallback.accept(PreparedConnectionResult.ready(prepared));
            return;
        }
        boolean readOnly = mRequest.purpose() == ConnectionPurpose.READ_TRANSACTION;
        long sent = mBroker.now();
        ScheduledFuture<?> timeout =
                prepared.connection()
                        .closeAfter(
                                StatementPipeline.TIMEOUT_MILLIS,
                                "the begin has no answer in time");
        mBroker.send(
                prepared,
                mRequest.purpose(),
                Optional.empty(),
                prepared.requiredPosition(),
                new Statement.Begin(readOnly),
                reply -> {
                    timeout.cancel(false);
                    onTransactionBegun(prepared, sent, reply);
                });
    }

    private void onTransactionBegun(
            PreparedConnection prepared, long sentNanos, ServerReply reply) {
        long now = mBroker.now();
        if (reply.isDone() && reply.mode() == SessionMode.TRANSACTION) {
            prepared.pool().health().onContact(now);
            Optional<TimedPosition> position =
                    reply.position()
                            .filter(known -> mRequest.purpose().isAtPrimary())
                            .map(known -> new TimedPosition(known, sentNanos));
            mCallback.accept(
                    PreparedConnectionResult.ready(prepared.withPositionAtBegin(position)));
            return;
        }
        mLastReason = "the server refused the transaction: " + reply.code() + " " + reply.text();
        recordFailure(prepared.pool(), reply, now);
        releaseOrClose(prepared, reply);
        tryNextServer(prepared.pool());
    }

    /**
     * Returns a connection to its pool, after a rollback if a transaction is open. Closes it when
     * its state is unknown.
     */
    static void releaseOrClose(PreparedConnection prepared, ServerReply reply) {
        ServerConnection connection = prepared.connection();
        if (reply.isLost()) {
            connection.close("the state of the connection is unknown");
        } else if (connection.hasUnconfirmedRefusal()) {
            confirmAndRelease(prepared, confirmed -> {});
        } else if (connection.mode() == SessionMode.IDLE) {
            prepared.pool().release(connection);
        } else {
            rollBackAndRelease(prepared, rolledBack -> {});
        }
    }

    /**
     * Returns a connection to its pool once the refusal that it has received is confirmed, and
     * closes it otherwise.
     *
     * @param callback runs once, and receives whether the refusal is confirmed
     */
    static void confirmAndRelease(PreparedConnection prepared, Consumer<Boolean> callback) {
        if (closeIfEvacuated(prepared)) {
            callback.accept(false);
            return;
        }
        RefusalConfirmation.run(
                prepared.connection(),
                confirmed -> {
                    if (confirmed) {
                        prepared.pool().release(prepared.connection());
                    }
                    callback.accept(confirmed);
                });
    }

    /**
     * Rolls back the transaction on a connection and returns the connection to its pool. Closes it
     * when the rollback is not confirmed.
     *
     * @param callback runs once, and receives whether the rollback is confirmed
     */
    static void rollBackAndRelease(PreparedConnection prepared, Consumer<Boolean> callback) {
        if (closeIfEvacuated(prepared)) {
            callback.accept(false);
            return;
        }
        StatementPipeline.run(
                prepared.connection(),
                List.of(new Statement.Rollback()),
                rolledBack -> {
                    if (rolledBack) {
                        prepared.pool().release(prepared.connection());
                    } else {
                        prepared.connection().close("the rollback was not confirmed");
                    }
                    callback.accept(rolledBack);
                });
    }

    /** Closes a connection over which nothing may be sent; its server then rolls back. */
    private static boolean closeIfEvacuated(PreparedConnection prepared) {
        if (prepared.pool().acceptsStatements()) {
            return false;
        }
        prepared.connection().close("the failure domain of the server is evacuated");
        return true;
    }

    /** Updates the health of a server after a refusal, a failure or a lost answer. */
    static void recordFailure(ServerConnectionPool pool, ServerReply reply, long nowNanos) {
        reply.position().ifPresent(position -> pool.health().onPosition(nowNanos, position));
        if (reply.kind() == ServerReply.Kind.MISMATCHED) {
            // The server is alive; the connection is replaced.
            return;
        }
        if (reply.isLost()) {
            pool.health().onFailure(nowNanos);
        } else if (reply.code() == FailureCode.NOT_PRIMARY) {
            pool.health().onDemoted(nowNanos);
            GatewayEvent.PRIMARY_REFUSED.log(pool.server().service(), pool.server().id());
        } else if (reply.code() == FailureCode.BEHIND) {
            pool.health().onBehind();
        } else if (reply.code() == FailureCode.BUSY) {
            pool.health().avoid(nowNanos, BUSY_AVOIDANCE_NANOS);
        }
    }
}
