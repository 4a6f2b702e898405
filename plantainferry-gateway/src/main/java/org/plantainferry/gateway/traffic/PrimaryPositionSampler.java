package org.plantainferry.gateway.traffic;

import java.util.HashSet;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.plantainferry.gateway.statement.SessionMode;
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
            sampleOn(new PreparedConnection(primary.get(), idle.get(), Optional.empty()), done);
            return;
        }
        acquireNew(now, done);
    }

    /**
     * Samples on an idle connection of any workspace, because opening a connection takes longer
     * than the sample.
     */
    private void sampleOn(PreparedConnection prepared, Consumer<Boolean> done) {
        long sent = mBroker.now();
        mBroker.send(
                prepared,
                ConnectionPurpose.TRANSACTION,
                Optional.empty(),
                Optional.empty(),
                new Statement.Begin(false),
                reply -> onTransactionBegun(prepared, sent, reply, done));
    }

    private void onTransactionBegun(
            PreparedConnection prepared,
            long sentNanos,
            ServerReply reply,
            Consumer<Boolean> done) {
        long now = mBroker.now();
        if (reply.isDone() && reply.mode() == SessionMode.TRANSACTION) {
            prepared.pool().health().onContact(now);
            reply.position().ifPresent(position -> mGroup.samples().record(sentNanos, position));
            ConnectionAcquisition.rollBackAndRelease(prepared);
            done.accept(reply.position().isPresent());
            return;
        }
        ConnectionAcquisition.recordFailure(prepared.pool(), reply, now);
        ConnectionAcquisition.releaseOrClose(prepared, reply);
        done.accept(false);
    }

    private void acquireNew(long now, Consumer<Boolean> done) {
        ConnectionRequest request =
                new ConnectionRequest(
                        mRequest.requestId(),
                        mRequest.workspace(),
                        mRequest.route(),
                        ConnectionPurpose.TRANSACTION,
                        mRequest.sessionState(),
                        Optional.empty(),
                        Optional.empty(),
                        now,
                        now + DEADLINE_NANOS,
                        false);
        mBroker.acquire(request, new HashSet<>(), result -> onAcquired(result, done));
    }

    private void onAcquired(PreparedConnectionResult result, Consumer<Boolean> done) {
        result.connection().ifPresent(ConnectionAcquisition::rollBackAndRelease);
        done.accept(
                result.connection().isPresent() && mGroup.samples().newestPosition().isPresent());
    }
}
