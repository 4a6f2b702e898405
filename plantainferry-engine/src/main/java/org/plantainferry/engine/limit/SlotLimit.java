package org.plantainferry.engine.limit;

/**
 * Values one share slot of one workspace.
 *
 * @param ratePerSecond the rate of a slot
 * @param capacity the burst of a slot
 * @since 0.1
 */
public record SlotLimit(double ratePerSecond, double capacity) {
    /** The value of a slot of an unknown workspace. */
    public static final SlotLimit NONE = new SlotLimit(0, 0);
}
