package org.plantainferry.gateway.traffic;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Runs an action when a transaction has had no statement for some time.
 *
 * <p>Not thread-safe: used by the traffic thread only.
 */
final class TransactionIdleTimer {
    private final EventLoop mLoop;
    private final Runnable mAction;
    private ScheduledFuture<?> mTimer;

    TransactionIdleTimer(EventLoop loop, Runnable action) {
        mLoop = loop;
        mAction = action;
    }

    /** Starts the timer, in place of one that runs. */
    void start(long idleMillis) {
        stop();
        mTimer = mLoop.schedule(mAction, idleMillis, TimeUnit.MILLISECONDS);
    }

    /** Stops the timer; does nothing if none runs. */
    void stop() {
        if (mTimer != null) {
            mTimer.cancel(false);
            mTimer = null;
        }
    }
}
