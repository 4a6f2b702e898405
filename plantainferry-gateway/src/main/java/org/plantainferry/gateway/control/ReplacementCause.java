package org.plantainferry.gateway.control;

/** Gives the reason why a primary is replaced. */
enum ReplacementCause {
    /** No server claims to be the primary. */
    MISSING,
    /** The primary is draining and will shut down. */
    LEAVING,
    /** The failure domain of the primary is evacuated. */
    EVACUATED,
    /** No instance reaches the primary. */
    UNREACHABLE,
    /** The server that claims the role could not be verified and may be a former primary. */
    NOT_BELIEVED
}
