package org.plantainferry.verification.standin.relay;

/**
 * Defines what happens to connections that are opened during a cut.
 *
 * @since 0.1
 */
public enum CutMode {
    /** Connections are accepted, but no data is forwarded until the cut is healed. */
    HANG,
    /**
     * Connections are accepted and reset immediately, because a listener cannot refuse connections
     * by source address.
     */
    REFUSE
}
