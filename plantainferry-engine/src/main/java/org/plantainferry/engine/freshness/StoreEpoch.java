package org.plantainferry.engine.freshness;

import java.util.Optional;
import org.plantainferry.api.Preconditions;

/**
 * Identifies one continuous history of the store.
 *
 * <p>A store that was restored from a copy has lost what it acknowledged after the copy was made,
 * and gives out the same revisions again. Each restoration begins a higher epoch, so revisions and
 * versions of objects are comparable only within one epoch.
 *
 * @param number a number from 1 to {@link #MAX_NUMBER} that increases with each restoration; 0 if
 *     the store reports none
 * @since 0.6
 */
public record StoreEpoch(long number) implements Comparable<StoreEpoch> {
    /** The epoch of a store that reports none. */
    public static final StoreEpoch UNKNOWN = new StoreEpoch(0);

    /** The largest number; fencing tokens have room for no larger one. */
    public static final long MAX_NUMBER = Integer.MAX_VALUE;

    /** Checks the number. */
    public StoreEpoch {
        Preconditions.condition(
                number >= 0 && number <= MAX_NUMBER, "number must be from 0 to " + MAX_NUMBER);
    }

    /**
     * Reads the epoch that the store reported.
     *
     * @param text the reported text; empty if there was none
     * @return the epoch; unknown if the text is missing or is no number in the permitted range
     */
    public static StoreEpoch parse(Optional<String> text) {
        return text.map(String::trim).map(StoreEpoch::parseNumber).orElse(UNKNOWN);
    }

    /** Returns the epoch with a number; unknown if the number is not in the permitted range. */
    public static StoreEpoch of(long number) {
        boolean isPermitted = number > 0 && number <= MAX_NUMBER;
        return isPermitted ? new StoreEpoch(number) : UNKNOWN;
    }

    private static StoreEpoch parseNumber(String text) {
        try {
            return of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            // Another writer may stand between the store and this instance.
            return UNKNOWN;
        }
    }

    /** Returns whether the store reported an epoch. */
    public boolean isKnown() {
        return number > 0;
    }

    /** Returns whether both epochs are known and differ. */
    public boolean differsFrom(StoreEpoch other) {
        return isKnown() && other.isKnown() && number != other.number;
    }

    @Override
    public int compareTo(StoreEpoch other) {
        return Long.compare(number, other.number);
    }

    // Written out, because a generated method is linked at run time in each process.
    @Override
    public boolean equals(Object other) {
        return other instanceof StoreEpoch that && number == that.number;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(number);
    }
}
