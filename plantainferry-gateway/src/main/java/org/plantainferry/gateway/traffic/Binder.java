package org.plantainferry.gateway.traffic;

import io.netty.channel.EventLoop;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.plantainferry.engine.placement.ReadPlacement;

/**
 * Finds server connections for statements.
 *
 * <p>Used by the traffic thread only.
 */
final class Binder {
    private final EventLoop mLoop;
    private final GroupDirectory mGroups;
    private final ReadPlacement mPlacement;
    private final LongSupplier mClock;

    Binder(EventLoop loop, GroupDirectory groups, ReadPlacement placement, LongSupplier clock) {
        mLoop = loop;
        mGroups = groups;
        mPlacement = placement;
        mClock = clock;
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

    long now() {
        return mClock.getAsLong();
    }

    void later(long millis, Runnable action) {
        mLoop.schedule(action, millis, TimeUnit.MILLISECONDS);
    }
}
