package org.plantainferry.gateway.traffic;

import java.util.Optional;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.engine.freshness.TimedPosition;

/**
 * Holds a connection that is in the session state required by the statement it was acquired for.
 *
 * @param pool the pool to which the connection is released
 * @param connection the connection
 * @param requiredPosition the log position that a single read must observe, to be sent with it
 * @param positionAtBegin the position of the primary at the begin of the transaction; it may be
 *     used only after the answer to the next statement, as the answer to the begin has no signature
 */
record PreparedConnection(
        ServerConnectionPool pool,
        ServerConnection connection,
        Optional<LogPosition> requiredPosition,
        Optional<TimedPosition> positionAtBegin) {
    PreparedConnection withPositionAtBegin(Optional<TimedPosition> position) {
        return new PreparedConnection(pool, connection, requiredPosition, position);
    }
}
