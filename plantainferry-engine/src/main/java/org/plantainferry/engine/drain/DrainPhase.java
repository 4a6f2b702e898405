package org.plantainferry.engine.drain;

/**
 * Lists the phases of an instance from start to shutdown.
 *
 * @since 0.1
 */
public enum DrainPhase {
    /** The instance accepts all work. */
    SERVING,
    /** The instance is not ready and starts no transactions; work in progress continues. */
    DRAINING,
    /** No work is left, or the drain time is over; listeners and connections can be closed. */
    CLOSED
}
