package org.plantainferry.engine.limit;

/**
 * Tells what to do with the slot object in the store; one action at a time.
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
     * Writes the object if it still has a version.
     *
     * @param table the next content
     * @param expectedVersion the version to replace; 0 when the object must not exist yet
     * @since 0.1
     */
    record Write(SlotTable table, long expectedVersion) implements SlotAction {}
}
