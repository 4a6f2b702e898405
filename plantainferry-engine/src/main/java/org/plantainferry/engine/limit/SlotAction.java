package org.plantainferry.engine.limit;

/**
 * Describes an operation on the slot object in the store; only one is in progress at a time.
 *
 * @since 0.1
 */
public sealed interface SlotAction {
    /**
     * Reads the object; the result goes to {@link SlotClaims#readSucceeded}.
     *
     * @since 0.1
     */
    record Read() implements SlotAction {}

    /**
     * Writes the object if its version is unchanged.
     *
     * @param table the new content
     * @param expectedVersion the version to replace; 0 when the object must not exist yet
     * @since 0.1
     */
    record Write(SlotTable table, long expectedVersion) implements SlotAction {}
}
