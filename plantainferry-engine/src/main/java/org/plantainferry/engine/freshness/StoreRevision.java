package org.plantainferry.engine.freshness;

/**
 * Identifies a state of the store; a higher one is newer.
 *
 * <p>The store numbers its changes, and gives numbers out again after it was restored from a copy.
 * A state of a later epoch is therefore newer than any of an earlier one.
 *
 * @param epoch the epoch of the store; unknown if it reports none
 * @param number the number of the last change; 0 before any
 * @since 0.6
 */
public record StoreRevision(StoreEpoch epoch, long number) implements Comparable<StoreRevision> {
    /** Precedes all states of the store. */
    public static final StoreRevision NONE = new StoreRevision(StoreEpoch.UNKNOWN, 0);

    /** Returns a revision of a store that reports no epoch. */
    public static StoreRevision withoutEpoch(long number) {
        return new StoreRevision(StoreEpoch.UNKNOWN, number);
    }

    /**
     * Returns this revision in the epoch of another one if its own is unknown.
     *
     * <p>An answer without an epoch is compared as if the store had not been restored meanwhile.
     */
    public StoreRevision orIn(StoreEpoch assumed) {
        return epoch.isKnown() ? this : new StoreRevision(assumed, number);
    }

    @Override
    public int compareTo(StoreRevision other) {
        int byEpoch = epoch.compareTo(other.epoch);
        return byEpoch != 0 ? byEpoch : Long.compare(number, other.number);
    }
}
