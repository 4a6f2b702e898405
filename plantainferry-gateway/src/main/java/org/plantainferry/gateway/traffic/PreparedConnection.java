package org.plantainferry.gateway.traffic;

import java.util.Optional;
import org.plantainferry.api.session.LogPosition;

/**
 * Holds a connection that is in the session state required by the statement it was acquired for.
 *
 * @param pool the pool to which the connection is released
 * @param connection the connection
 * @param requiredPosition the log position that a single read must observe, to be sent with it
 */
record PreparedConnection(
        ServerConnectionPool pool,
        ServerConnection connection,
        Optional<LogPosition> requiredPosition) {}
