package org.plantainferry.engine.placement;

/**
 * Describes whether a server has a connection for the workspace of a read.
 *
 * @since 0.2
 */
public enum ConnectionAvailability {
    /** A connection of the workspace is idle. */
    IDLE,
    /** A connection can be opened without closing one of another workspace. */
    CAN_OPEN,
    /** A connection can be opened only after another one is closed. */
    AT_LIMIT
}
