package org.plantainferry.verification.standin.relay;

/**
 * Says what happens to connections that are opened during a cut.
 *
 * @since 0.1
 */
public enum CutMode {
    /** They are accepted, but no byte passes until the cut is healed. */
    HANG,
    /** They are accepted and reset at once; a listener cannot refuse single source addresses. */
    REFUSE
}
