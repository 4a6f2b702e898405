package org.plantainferry.engine.memory;

import org.plantainferry.api.Preconditions;

/**
 * Holds the limits of a memory budget.
 *
 * @param highMarkBytes the bytes above which connections are closed
 * @param messageBytes the room that a message needs from its first bytes to its answer
 * @param smallBytes the size up to which a message is received whatever else is held
 * @param turnNanos how long a message may take to arrive while others wait for its room
 * @since 0.6
 */
public record MemoryLimits(long highMarkBytes, long messageBytes, long smallBytes, long turnNanos) {
    /** Validates all values. */
    public MemoryLimits {
        Preconditions.condition(messageBytes > 0, "messageBytes must be positive");
        Preconditions.condition(
                highMarkBytes >= 2 * messageBytes, "highMarkBytes must hold two messages");
        Preconditions.condition(smallBytes > 0, "smallBytes must be positive");
        Preconditions.condition(turnNanos > 0, "turnNanos must be positive");
    }

    /** Returns the bytes above which long messages are received in turns. */
    long lowMarkBytes() {
        return highMarkBytes / 2;
    }
}
