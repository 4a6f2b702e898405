package org.plantainferry.engine.retry;

/**
 * Describes the room that the servers of a service have for a second attempt.
 *
 * @param isShort whether statements wait for each server that could run the attempt
 * @param expectedNanos nanoseconds until the statements in progress and those that wait are
 *     expected to have ended
 * @since 0.4
 */
public record RoomState(boolean isShort, long expectedNanos) {
    /** The state in which no statement waits. */
    public static final RoomState FREE = new RoomState(false, 0);
}
