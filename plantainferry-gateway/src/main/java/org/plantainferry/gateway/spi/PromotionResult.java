package org.plantainferry.gateway.spi;

/**
 * Says how the platform answered the order to promote a server.
 *
 * @since 0.2
 */
public enum PromotionResult {
    /** The server leads, or will within moments. */
    ACCEPTED,
    /** A newer fencing token was seen, or the server does not run; nothing was changed. */
    REFUSED,
    /** Nothing was done; the order may be repeated. */
    NOT_RUN
}
