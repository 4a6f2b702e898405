package org.plantainferry.engine.routing;

/**
 * Describes why a server was chosen.
 *
 * @since 0.1
 */
public enum RouteReason {
    /** A replica that is estimated to have reached the required position and age. */
    ELIGIBLE_REPLICA,
    /** A server that has never answered and whose backoff, if any, has ended. */
    PROBE,
    /** The primary of the highest term. */
    PRIMARY,
    /**
     * A replica of the highest term that is estimated to be behind, chosen because the primary is
     * not available; the server checks the position itself.
     */
    LAST_RESORT
}
