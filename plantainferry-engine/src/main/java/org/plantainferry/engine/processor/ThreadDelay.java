package org.plantainferry.engine.processor;

/**
 * Measures how long work waits until its thread gets to it.
 *
 * <p>The measure is the lateness of a task that the thread was to run at a known time. A task that
 * is overdue counts before it runs, because the thread may handle other work first. Times are
 * monotonic nanoseconds. Not thread-safe.
 *
 * @since 0.6
 */
public final class ThreadDelay {
    private boolean mExpected;
    private long mDueNanos;
    private long mLastNanos;

    /** Records that a task is to run at a time; replaces a task that has not run. */
    public void onScheduled(long dueNanos) {
        mExpected = true;
        mDueNanos = dueNanos;
    }

    /** Records that the task runs; without a scheduled task nothing is measured. */
    public void onRun(long nowNanos) {
        if (!mExpected) {
            return;
        }
        mExpected = false;
        mLastNanos = Math.max(0, nowNanos - mDueNanos);
    }

    /** Returns whether a task was scheduled that has not run yet. */
    public boolean isMeasuring() {
        return mExpected;
    }

    /** Returns how long work waits now, in nanoseconds; 0 before the first measurement. */
    public long delayNanos(long nowNanos) {
        long overdueNanos = mExpected ? nowNanos - mDueNanos : 0;
        return Math.max(mLastNanos, overdueNanos);
    }
}
