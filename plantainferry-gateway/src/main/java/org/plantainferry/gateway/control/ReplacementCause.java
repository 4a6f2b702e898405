package org.plantainferry.gateway.control;

/** Says why a primary is replaced. */
enum ReplacementCause {
    /** No server claims to be the primary. */
    MISSING,
    /** The primary takes no new work and will end. */
    LEAVING,
    /** No instance reaches the primary. */
    UNREACHABLE,
    /** The server that says it leads is a former primary. */
    NOT_BELIEVED
}
