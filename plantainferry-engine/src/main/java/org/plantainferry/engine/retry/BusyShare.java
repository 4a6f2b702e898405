package org.plantainferry.engine.retry;

import java.util.concurrent.TimeUnit;

/**
 * Tells from the answers of the servers of a service whether their queues are full: whether most
 * answers of the current and the previous step were refusals. A short peak does not fill a step.
 *
 * <p>Not thread-safe.
 */
final class BusyShare {
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final int MIN_REFUSALS = 4;

    private long mStepStartNanos;
    private int mBusy;
    private int mServed;
    private int mPreviousBusy;
    private int mPreviousServed;

    /** Creates a share without answers. */
    BusyShare(long nowNanos) {
        mStepStartNanos = nowNanos;
    }

    /** Records an answer, and whether it is a refusal by a server whose queue is full. */
    void onAnswer(boolean busy, long nowNanos) {
        advance(nowNanos);
        if (busy) {
            mBusy++;
        } else {
            mServed++;
        }
    }

    /** Returns whether most of the last answers were refusals. */
    boolean isFull(long nowNanos) {
        advance(nowNanos);
        int busy = mBusy + mPreviousBusy;
        return busy >= MIN_REFUSALS && busy > mServed + mPreviousServed;
    }

    private void advance(long nowNanos) {
        long elapsed = nowNanos - mStepStartNanos;
        if (elapsed < STEP_NANOS) {
            return;
        }
        boolean isNextStep = elapsed < 2 * STEP_NANOS;
        mPreviousBusy = isNextStep ? mBusy : 0;
        mPreviousServed = isNextStep ? mServed : 0;
        mBusy = 0;
        mServed = 0;
        mStepStartNanos = isNextStep ? mStepStartNanos + STEP_NANOS : nowNanos;
    }
}
