package org.plantainferry.gateway.traffic;

import java.util.Optional;

/**
 * Holds a ready connection, or the reason why there is none; nothing of the caller's has run then.
 *
 * @param bound the connection
 * @param reason why there is none
 * @param retryAfterMillis when the caller may come back
 */
record BindResult(Optional<BoundLink> bound, String reason, long retryAfterMillis) {
    static BindResult ready(BoundLink bound) {
        return new BindResult(Optional.of(bound), "", 0);
    }

    static BindResult refused(String reason, long retryAfterMillis) {
        return new BindResult(Optional.empty(), reason, retryAfterMillis);
    }
}
