package org.plantainferry.gateway.traffic;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.plantainferry.engine.catalog.DatabaseRoute;
import org.plantainferry.engine.processor.WorkLimit;
import org.plantainferry.gateway.processor.LoopDelayProbe;

/**
 * Counts the request of one session that is in progress as work of this instance.
 *
 * <p>Not thread-safe: used by the traffic thread only.
 */
final class SessionWork {
    private final WorkLimit mLimit;
    private final LoopDelayProbe mDelay;
    private final LongSupplier mClock;
    private boolean mInProgress;
    private long mArrivedNanos;
    private long mObjectiveNanos;

    SessionWork(WorkLimit limit, LoopDelayProbe delay, LongSupplier clock) {
        mLimit = limit;
        mDelay = delay;
        mClock = clock;
    }

    /** Returns whether an operation may begin, as far as processor time is concerned. */
    boolean mayBegin() {
        mLimit.onShortage(mDelay.isShort());
        return mLimit.mayBegin();
    }

    /** Records that a request begins, which has waited for the thread already. */
    void begin(DatabaseRoute route) {
        mInProgress = true;
        mArrivedNanos = mClock.getAsLong() - mDelay.delayNanos();
        mObjectiveNanos = TimeUnit.MILLISECONDS.toNanos(route.latencyObjectiveMillis());
        mLimit.onBegin();
    }

    /** Records that the request has ended; does nothing if none is in progress. */
    void end() {
        if (!mInProgress) {
            return;
        }
        mInProgress = false;
        long now = mClock.getAsLong();
        mLimit.onEnd(now - mArrivedNanos, mObjectiveNanos, now);
    }
}
