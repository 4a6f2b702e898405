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
    private static final long LONGEST_PAUSE = TimeUnit.SECONDS.toNanos(5);
    private static final long LONGEST_SILENCE = TimeUnit.SECONDS.toNanos(10);

    private long mTicked;
    private long mContact;
    private boolean mBlocked = true;
    private long mBlockedSince;

    /** Creates a guard that blocks until the slot object has been read. */
    public SlotHolderGuard(long nowNanos) {
        mTicked = nowNanos;
        mContact = nowNanos;
        mBlockedSince = nowNanos;
    }

    /**
     * Notices pauses and silence; called first on every run of the control thread.
     *
     * @param domainHasOthers whether the failure domain has other instances, in the platform's list
     *     or in the membership view
     */
    public void tick(long nowNanos, boolean domainHasOthers) {
        boolean paused = nowNanos - mTicked > LONGEST_PAUSE;
        boolean silent = domainHasOthers && nowNanos - mContact > LONGEST_SILENCE;
        if (paused || silent) {
            mBlocked = true;
            mBlockedSince = nowNanos;
        }
        mTicked = nowNanos;
    }

    /** Notes that the store answered, or that a peer of the same failure domain was heard. */
    public void recordContact(long nowNanos) {
        mContact = nowNanos;
    }

    /**
     * Notes that the slot object was read; a read that began before the block does not end it.
     *
     * @param sentNanos the time at which the read was sent
     */
    public void recordSlotRead(long nowNanos, long sentNanos) {
        mContact = nowNanos;
        if (sentNanos - mBlockedSince >= 0) {
            mBlocked = false;
        }
    }

    /** Returns whether the slots may be spent. */
    public boolean maySpend() {
        return !mBlocked;
    }
}
