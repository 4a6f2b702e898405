package org.plantainferry.engine.membership;

import org.plantainferry.engine.freshness.StoreEpoch;

/**
 * Decides whether the list of instances in the store is complete, so that majorities may be counted
 * from it.
 *
 * <p>A store that was restored from a copy has lost the entries of instances that still run. Those
 * who know them write them again within the settling time. An instance that waited for that time
 * since it saw the epoch records the epoch as settled, so that instances that start later need not
 * wait. Nothing rests on the memory of a process: one that starts in an epoch that nobody recorded
 * waits as well. Times are monotonic nanoseconds. Not thread-safe.
 *
 * @since 0.6
 */
public final class RegistrySettlement {
    private final long mSettlingNanos;
    private StoreEpoch mEpoch = StoreEpoch.UNKNOWN;
    private long mEpochSeenNanos;
    private StoreEpoch mRecorded = StoreEpoch.UNKNOWN;

    /**
     * Creates an object that knows no epoch.
     *
     * @param settlingNanos the time within which all running instances are listed again after the
     *     store was restored
     */
    public RegistrySettlement(long settlingNanos) {
        mSettlingNanos = settlingNanos;
    }

    /** Records that the store is in an epoch; has no effect unless it is the newest one. */
    public void onEpoch(StoreEpoch epoch, long nowNanos) {
        if (epoch.compareTo(mEpoch) > 0) {
            mEpoch = epoch;
            mEpochSeenNanos = nowNanos;
        }
    }

    /** Records that an instance found an epoch to be settled. */
    public void onRecorded(StoreEpoch epoch) {
        if (epoch.compareTo(mRecorded) > 0) {
            mRecorded = epoch;
        }
    }

    /** Returns the newest epoch. */
    public StoreEpoch epoch() {
        return mEpoch;
    }

    /** Returns whether the list is complete; always true if the store reports no epochs. */
    public boolean isSettled(long nowNanos) {
        return isRecorded() || hasWaited(nowNanos);
    }

    /** Returns whether the epoch is settled, but no instance has recorded it. */
    public boolean needsRecord(long nowNanos) {
        return !isRecorded() && hasWaited(nowNanos);
    }

    private boolean isRecorded() {
        return mRecorded.compareTo(mEpoch) >= 0;
    }

    private boolean hasWaited(long nowNanos) {
        return nowNanos - mEpochSeenNanos >= mSettlingNanos;
    }

    /** Returns the time until the epoch is settled without a record; 0 if it is. */
    public long remainingNanos(long nowNanos) {
        return isSettled(nowNanos) ? 0 : mEpochSeenNanos + mSettlingNanos - nowNanos;
    }
}
