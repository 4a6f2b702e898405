package org.plantainferry.gateway.processor;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.plantainferry.engine.processor.ProcessorShortage;
import org.plantainferry.engine.processor.ThreadDelay;
import org.plantainferry.gateway.log.GatewayEvent;

/**
 * Measures how late an event loop runs, while it has work, and logs when it is short of processor
 * time.
 *
 * <p>Used by the event loop only, except {@link #lastDelayNanos}.
 */
public final class LoopDelayProbe {
    private static final long INTERVAL_MILLIS = 50;

    private final EventLoop mLoop;
    private final String mThread;
    private final LongSupplier mClock;
    private final ThreadDelay mDelay = new ThreadDelay();
    private final ProcessorShortage mShortage = new ProcessorShortage();
    private volatile long mLastDelayNanos;

    /**
     * Creates a probe that measures nothing until {@link #onWork}.
     *
     * @param thread the name of the thread in logs and metrics
     * @param clock a monotonic clock in nanoseconds
     */
    public LoopDelayProbe(EventLoop loop, String thread, LongSupplier clock) {
        mLoop = loop;
        mThread = thread;
        mClock = clock;
    }

    /** Returns the name of the thread in logs and metrics. */
    String thread() {
        return mThread;
    }

    /** Begins a measurement unless one goes on; called whenever the loop has work. */
    public void onWork() {
        if (mDelay.isMeasuring()) {
            return;
        }
        mDelay.onScheduled(mClock.getAsLong() + TimeUnit.MILLISECONDS.toNanos(INTERVAL_MILLIS));
        mLoop.schedule(this::measure, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void measure() {
        long now = mClock.getAsLong();
        mDelay.onRun(now);
        long delayNanos = mDelay.delayNanos(now);
        mLastDelayNanos = delayNanos;
        ProcessorShortage.Change change = mShortage.onDelay(delayNanos, now);
        if (change == ProcessorShortage.Change.BEGUN) {
            GatewayEvent.PROCESSOR_SHORT.log(
                    mThread, TimeUnit.NANOSECONDS.toMillis(delayNanos), ThreadTimes.readMillis());
        } else if (change == ProcessorShortage.Change.ENDED) {
            GatewayEvent.PROCESSOR_SUFFICIENT.log(
                    mThread,
                    TimeUnit.NANOSECONDS.toMillis(mShortage.durationNanos()),
                    TimeUnit.NANOSECONDS.toMillis(mShortage.longestNanos()),
                    ThreadTimes.readMillis());
        }
        if (mShortage.needsMeasurement()) {
            // A change is to be noticed also without further work.
            onWork();
        }
    }

    /** Returns how long work waits until the loop gets to it, in nanoseconds. */
    public long delayNanos() {
        return mDelay.delayNanos(mClock.getAsLong());
    }

    /** Returns the latest measured delay, in nanoseconds; may be called from any thread. */
    public long lastDelayNanos() {
        return mLastDelayNanos;
    }

    /** Returns whether the loop is short of processor time. */
    public boolean isShort() {
        return mShortage.isShort();
    }
}
