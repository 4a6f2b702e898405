package org.plantainferry.engine.limit;

import java.util.concurrent.TimeUnit;

/**
 * Decides whether a holder may still spend from its slots.
 *
 * <p>After a long pause, or without any contact, another instance of the failure domain may have
 * reclaimed the slots; the holder then spends nothing until it has read the slot object again.
 *
 * @since 0.1
 */
public final class SlotHolderGuard {
    private static final long MAXIMUM_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long MAXIMUM_SILENCE_NANOS = TimeUnit.SECONDS.toNanos(10);

    private long mLastTickNanos;
    private long mLastContactNanos;
    private boolean mBlocked = true;
    private long mBlockedSinceNanos;

    /** Creates a guard that blocks until the slot object has been read. */
    public SlotHolderGuard(long nowNanos) {
        mLastTickNanos = nowNanos;
        mLastContactNanos = nowNanos;
        mBlockedSinceNanos = nowNanos;
    }

    /**
     * Notices pauses and silence; called first on every run of the control thread.
     *
     * @param domainHasOthers whether the failure domain has other instances, in the platform's list
     *     or in the membership view
     */
    public void tick(long nowNanos, boolean domainHasOthers) {
        boolean paused = nowNanos - mLastTickNanos > MAXIMUM_PAUSE_NANOS;
        boolean silent = domainHasOthers && nowNanos - mLastContactNanos > MAXIMUM_SILENCE_NANOS;
        if (paused || silent) {
            mBlocked = true;
            mBlockedSinceNanos = nowNanos;
        }
        mLastTickNanos = nowNanos;
    }

    /** Notes that the store answered, or that a peer of the same failure domain was heard. */
    public void recordContact(long nowNanos) {
        mLastContactNanos = nowNanos;
    }

    /**
     * Notes that the slot object was read; a read that began before the block does not end it.
     *
     * @param sentNanos the time at which the read was sent
     */
    public void recordSlotRead(long nowNanos, long sentNanos) {
        mLastContactNanos = nowNanos;
        if (sentNanos - mBlockedSinceNanos >= 0) {
            mBlocked = false;
        }
    }

    /** Returns whether the slots may be spent. */
    public boolean maySpend() {
        return !mBlocked;
    }
}
