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
final class PrimarySampler {
    private static final long DEADLINE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final Binder mBinder;
    private final BindRequest mFor;
    private final GroupState mGroup;

    PrimarySampler(Binder binder, BindRequest request, GroupState group) {
        mBinder = binder;
        mFor = request;
        mGroup = group;
    }

    /** Takes a sample; the callback says whether there is one. */
    void start(Consumer<Boolean> done) {
        long now = mBinder.now();
        Optional<ServerPool> primary =
                mGroup.primary(now).filter(pool -> !pool.health().isAvoided(now));
        Optional<ServerLink> idle = primary.flatMap(ServerPool::takeAnyIdle);
        if (idle.isPresent()) {
            sampleOn(new BoundLink(primary.get(), idle.get(), Optional.empty()), done);
            return;
        }
        bind(now, done);
    }

    /** Uses a connection of any workspace, because opening one takes longer than the sample. */
    private void sampleOn(BoundLink bound, Consumer<Boolean> done) {
        long sent = mBinder.now();
        mBinder.send(
                bound,
                BindPurpose.TRANSACTION,
                Optional.empty(),
                Optional.empty(),
                new Statement.Begin(false),
                reply -> onBegun(bound, sent, reply, done));
    }

    private void onBegun(
            BoundLink bound, long sentNanos, ServerReply reply, Consumer<Boolean> done) {
        long now = mBinder.now();
        if (reply.isDone() && reply.mode() == SessionMode.TRANSACTION) {
            bound.pool().health().onSignOfLife(now);
            reply.position().ifPresent(each -> mGroup.samples().record(sentNanos, each));
            BindAttempt.rollBack(bound);
            done.accept(reply.position().isPresent());
            return;
        }
        BindAttempt.noteRefusal(bound.pool(), reply, now);
        BindAttempt.giveBack(bound, reply);
        done.accept(false);
    }

    private void bind(long now, Consumer<Boolean> done) {
        BindRequest request =
                new BindRequest(
                        mFor.requestId(),
                        mFor.workspace(),
                        mFor.route(),
                        BindPurpose.TRANSACTION,
                        mFor.session(),
                        Optional.empty(),
                        Optional.empty(),
                        now,
                        now + DEADLINE_NANOS,
                        false);
        mBinder.bind(request, new HashSet<>(), result -> onBound(result, done));
    }

    private void onBound(BindResult result, Consumer<Boolean> done) {
        result.bound().ifPresent(BindAttempt::rollBack);
        done.accept(result.bound().isPresent() && mGroup.samples().newestPosition().isPresent());
    }
}
