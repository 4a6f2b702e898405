package org.plantainferry.gateway.traffic;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Tells since when a server is known to be leaving.
 *
 * <p>Not thread-safe: used by the traffic thread only.
 */
final class LeavingPeriod {
    private final EventLoop mLoop;
    private final LongSupplier mClock;
    private Optional<Long> mSinceNanos = Optional.empty();

    LeavingPeriod(EventLoop loop, LongSupplier clock) {
        mLoop = loop;
        mClock = clock;
    }

    /**
     * Records whether the server is leaving.
     *
     * @param afterNanos the time after which an action runs, if the server still leaves then
     */
    void update(boolean leaving, long afterNanos, Runnable action) {
        if (!leaving) {
            mSinceNanos = Optional.empty();
        } else if (mSinceNanos.isEmpty()) {
            mSinceNanos = Optional.of(mClock.getAsLong());
            mLoop.schedule(() -> runIfDue(afterNanos, action), afterNanos, TimeUnit.NANOSECONDS);
        }
    }

    private void runIfDue(long afterNanos, Runnable action) {
        if (wasLeavingAt(mClock.getAsLong() - afterNanos)) {
            action.run();
        }
    }

    /** Returns whether the server was already known to be leaving at a time. */
    boolean wasLeavingAt(long nanos) {
        return mSinceNanos.isPresent() && mSinceNanos.get() - nanos <= 0;
    }
}
