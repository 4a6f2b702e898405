package org.plantainferry.engine.placement;

/**
 * Says what a read finds at a server for its workspace.
 *
 * @since 0.2
 */
public enum ConnectionAvailability {
    /** A connection is idle. */
    IDLE,
    /** A connection can be opened without closing one of another workspace. */
    CAN_OPEN,
    /** A connection can only take the place of another one. */
    AT_LIMIT
}
