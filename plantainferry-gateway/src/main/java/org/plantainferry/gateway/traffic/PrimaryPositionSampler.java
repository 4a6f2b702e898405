package org.plantainferry.gateway.traffic;

import java.util.HashSet;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.plantainferry.engine.freshness.TimedPosition;
import org.plantainferry.engine.scheduling.Urgency;
import org.plantainferry.gateway.statement.Statement;

/**
 * Samples the log position of the primary by beginning and rolling back a transaction.
 *
 * <p>Neither statement occupies an execution slot of the server. A demoted primary refuses to begin
 * a transaction, so the sampled position is that of the current primary.
 */
final class PrimaryPositionSampler {
    private static final long DEADLINE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final ConnectionBroker mBroker;
    private final ConnectionRequest mRequest;
    private final ServerGroup mGroup;
    private Optional<TimedPosition> mPositionAtBegin = Optional.empty();

    PrimaryPositionSampler(ConnectionBroker broker, ConnectionRequest request, ServerGroup group) {
        mBroker = broker;
        mRequest = request;
        mGroup = group;
    }

    /** Takes a sample. The callback runs once and receives whether a position is known. */
    void start(Consumer<Boolean> done) {
        long now = mBroker.now();
        Optional<ServerConnectionPool> primary =
                mGroup.usablePrimary(now).filter(pool -> !pool.health().isAvoided(now));
        Optional<ServerConnection> idle = primary.flatMap(ServerConnectionPool::takeAnyIdle);
        if (idle.isPresent()) {
            sampleOn(
                    new PreparedConnection(
                            primary.get(), idle.get(), Optional.empty(), Optional.empty()),
                    done);
            return;
        }
        acquireNew(now, done);
    }

    /**
     * Samples on an idle connection of any workspace, because opening a connection takes longer
     * than the sample. The position is recorded after the rollback is answered: if the server has
     * repeated the answer to an earlier begin, the rollback is answered by the begin.
     */
    private void sampleOn(PreparedConnection prepared, Consumer<Boolean> done) {
        long sent = mBroker.now();
        mBroker.send(
                prepared,
                ConnectionPurpose.TRANSACTION,
                Optional.empty(),
                Optional.empty(),
                new Statement.Begin(false),
                reply -> onTransactionBegun(prepared, sent, reply));
        rollBackAndRecord(prepared, done);
    }

    private void onTransactionBegun(
            PreparedConnection prepared, long sentNanos, ServerReply reply) {
        long now = mBroker.now();
        if (reply.isDone()) {
            prepared.pool().health().onContact(now);
            mPositionAtBegin =
                    reply.position().map(position -> new TimedPosition(position, sentNanos));
            return;
        }
        ConnectionAcquisition.recordFailure(prepared.pool(), reply, now);
        prepared.connection().close("the server did not begin a transaction");
    }

    private void rollBackAndRecord(PreparedConnection prepared, Consumer<Boolean> done) {
        ConnectionAcquisition.rollBackAndRelease(
                prepared, rolledBack -> done.accept(rolledBack && recordPosition(prepared)));
    }

    private boolean recordPosition(PreparedConnection prepared) {
        mBroker.recordPositionAtBegin(prepared.withPositionAtBegin(mPositionAtBegin));
        return mPositionAtBegin.isPresent();
    }

    private void acquireNew(long now, Consumer<Boolean> done) {
        ConnectionRequest request =
                new ConnectionRequest(
                        mRequest.requestId(),
                        mRequest.workspace(),
                        mRequest.route(),
                        ConnectionPurpose.TRANSACTION,
                        mRequest.workKind(),
                        mRequest.sessionState(),
                        Optional.empty(),
                        Optional.empty(),
                        now,
                        Urgency.ofInstance(mRequest.workspace(), now, now + DEADLINE_NANOS),
                        now + DEADLINE_NANOS,
                        false);
        mBroker.acquire(request, new HashSet<>(), result -> onAcquired(result, done));
    }

    private void onAcquired(PreparedConnectionResult result, Consumer<Boolean> done) {
        if (result.connection().isEmpty()) {
            done.accept(false);
            return;
        }
        PreparedConnection prepared = result.connection().get();
        mPositionAtBegin = prepared.positionAtBegin();
        rollBackAndRecord(prepared, done);
    }
}
