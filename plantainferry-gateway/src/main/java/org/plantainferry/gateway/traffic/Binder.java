package org.plantainferry.gateway.traffic;

import io.netty.channel.EventLoop;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.plantainferry.engine.placement.ReadPlacement;

/**
 * Finds server connections for statements.
 *
 * <p>Used by the traffic thread only.
 */
final class Binder {
    // Longer than the longest statement together with a full queue at the server.
    private static final long SILENCE_MILLIS = 300;

    private final EventLoop mLoop;
    private final GroupDirectory mGroups;
    private final ReadPlacement mPlacement;
    private final LongSupplier mClock;
    private final Supplier<PrimarySuspicion> mSuspicion;

    Binder(
            EventLoop loop,
            GroupDirectory groups,
            ReadPlacement placement,
            LongSupplier clock,
            Supplier<PrimarySuspicion> suspicion) {
        mLoop = loop;
        mGroups = groups;
        mPlacement = placement;
        mClock = clock;
        mSuspicion = suspicion;
    }

    /**
     * Looks for a connection; the callback runs once.
     *
     * @param excluded servers that already refused the statement; the set grows
     */
    void bind(BindRequest request, Set<String> excluded, Consumer<BindResult> callback) {
        new BindAttempt(this, request, excluded, callback).start();
    }

    GroupState group(String service) {
        return mGroups.group(service);
    }

    ReadPlacement placement() {
        return mPlacement;
    }

    /** Reports that a server which should be the primary does not answer. */
    void suspect(ServerPool pool) {
        mSuspicion.get().onSuspected(pool.server().service(), pool.server().id());
    }

    /** Suspects the primary when a statement that is sent now stays without an answer. */
    void watchPrimary(BoundLink bound, BindPurpose purpose) {
        if (!purpose.isAtPrimary()) {
            return;
        }
        long sent = now();
        later(
                SILENCE_MILLIS,
                () -> {
                    if (bound.link().isAnswering()
                            && !bound.pool().health().hasAnsweredSince(sent)) {
                        suspect(bound.pool());
                    }
                });
    }

    long now() {
        return mClock.getAsLong();
    }

    void later(long millis, Runnable action) {
        mLoop.schedule(action, millis, TimeUnit.MILLISECONDS);
    }
}
