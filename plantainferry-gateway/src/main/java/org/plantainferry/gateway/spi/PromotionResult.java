package org.plantainferry.gateway.spi;

/**
 * Describes the answer of the platform to the promotion of a server.
 *
 * @since 0.2
 */
public enum PromotionResult {
    /** The server is the primary, or will be shortly. */
    ACCEPTED,
    /** The platform has seen a newer fencing token, or the server is down; nothing was changed. */
    REFUSED,
    /** Nothing was changed; the call may be repeated. */
    NOT_RUN
}
