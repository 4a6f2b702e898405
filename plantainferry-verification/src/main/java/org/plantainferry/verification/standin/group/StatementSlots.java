package org.plantainferry.verification.standin.group;

import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** Bounds the statements that run at the same time on a server, and those that wait for a slot. */
final class StatementSlots {
    private final int mCount;
    private final int mQueueLimit;
    private final Semaphore mFreeSlots;
    private final AtomicInteger mWaiting = new AtomicInteger();

    StatementSlots(int count, int queueLimit) {
        mCount = count;
        mQueueLimit = queueLimit;
        mFreeSlots = new Semaphore(count, true);
    }

    int count() {
        return mCount;
    }

    /** Takes a slot, waiting in turn for it; false when the queue is full. */
    boolean acquire() throws InterruptedException {
        if (mFreeSlots.tryAcquire()) {
            return true;
        }
        if (mWaiting.incrementAndGet() > mQueueLimit) {
            mWaiting.decrementAndGet();
            return false;
        }
        try {
            mFreeSlots.acquire();
            return true;
        } finally {
            mWaiting.decrementAndGet();
        }
    }

    void release() {
        mFreeSlots.release();
    }
}
