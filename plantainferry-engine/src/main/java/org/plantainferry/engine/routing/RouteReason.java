package org.plantainferry.engine.routing;

/**
 * Says why a server was chosen.
 *
 * @since 0.1
 */
public enum RouteReason {
    /** A replica that is estimated to have reached the required position and age. */
    ELIGIBLE_REPLICA,
    /** A server that failed lately, or is not known yet, and whose backoff is over. */
    PROBE,
    /** The primary of the highest term. */
    PRIMARY,
    /**
     * A replica of the highest term that is estimated to be behind, since the primary cannot be
     * reached; the server checks the position itself.
     */
    LAST_RESORT
}
