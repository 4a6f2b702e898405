package org.plantainferry.engine.limit;

/**
 * Contains the limit that one share slot contributes for one workspace.
 *
 * @param ratePerSecond tokens per second of one slot
 * @param capacity the burst of one slot, in tokens
 * @since 0.1
 */
public record SlotLimit(double ratePerSecond, double capacity) {
    /** The limit of a slot for an unknown workspace. */
    public static final SlotLimit NONE = new SlotLimit(0, 0);
}
