package org.plantainferry.gateway.traffic;

import java.util.HashSet;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.plantainferry.gateway.statement.SessionMode;
import org.plantainferry.gateway.statement.Statement;

/**
 * Learns the log position of the primary by beginning and rolling back a transaction.
 *
 * <p>Neither statement occupies a slot of the server. A server that has lost the lead refuses to
 * begin, so a position learned this way is that of the primary.
 */
final class PrimaryPositionSampler {
    private static final long DEADLINE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final ConnectionBroker mBroker;
    private final ConnectionRequest mRequest;
    private final ServerGroup mGroup;

    PrimaryPositionSampler(ConnectionBroker binder, ConnectionRequest request, ServerGroup group) {
        mBroker = binder;
        mRequest = request;
        mGroup = group;
    }

    /** Takes a sample; the callback says whether there is one. */
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

    /** Uses a connection of any workspace, because opening one takes longer than the sample. */
    private void sampleOn(PreparedConnection bound, Consumer<Boolean> done) {
        long sent = mBroker.now();
        mBroker.send(
                bound,
                ConnectionPurpose.TRANSACTION,
                Optional.empty(),
                Optional.empty(),
                new Statement.Begin(false),
                reply -> onTransactionBegun(bound, sent, reply, done));
    }

    private void onTransactionBegun(
            PreparedConnection bound, long sentNanos, ServerReply reply, Consumer<Boolean> done) {
        long now = mBroker.now();
        if (reply.isDone() && reply.mode() == SessionMode.TRANSACTION) {
            bound.pool().health().onContact(now);
            reply.position().ifPresent(each -> mGroup.samples().record(sentNanos, each));
            ConnectionAcquisition.rollBackAndRelease(bound);
            done.accept(reply.position().isPresent());
            return;
        }
        ConnectionAcquisition.recordFailure(bound.pool(), reply, now);
        ConnectionAcquisition.releaseOrClose(bound, reply);
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
