package org.plantainferry.gateway.traffic;

import java.util.Optional;

/**
 * Holds a ready connection, or the reason why there is none; nothing of the caller's has run then.
 *
 * @param connection the connection
 * @param reason why there is none
 * @param retryAfterMillis when the caller may come back
 */
record PreparedConnectionResult(
        Optional<PreparedConnection> connection, String reason, long retryAfterMillis) {
    static PreparedConnectionResult ready(PreparedConnection bound) {
        return new PreparedConnectionResult(Optional.of(bound), "", 0);
    }

    static PreparedConnectionResult refused(String reason, long retryAfterMillis) {
        return new PreparedConnectionResult(Optional.empty(), reason, retryAfterMillis);
    }
}
