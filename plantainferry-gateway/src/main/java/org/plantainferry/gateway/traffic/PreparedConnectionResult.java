package org.plantainferry.gateway.traffic;

import java.util.Optional;

/**
 * Holds a connection that is ready for a statement, or the reason why none was acquired. In the
 * latter case no statement of the caller has run.
 *
 * @param connection the connection; empty when none was acquired
 * @param reason why none was acquired; empty otherwise
 * @param retryAfterMillis milliseconds after which the caller may retry
 */
record PreparedConnectionResult(
        Optional<PreparedConnection> connection, String reason, long retryAfterMillis) {
    static PreparedConnectionResult ready(PreparedConnection prepared) {
        return new PreparedConnectionResult(Optional.of(prepared), "", 0);
    }

    static PreparedConnectionResult refused(String reason, long retryAfterMillis) {
        return new PreparedConnectionResult(Optional.empty(), reason, retryAfterMillis);
    }
}
