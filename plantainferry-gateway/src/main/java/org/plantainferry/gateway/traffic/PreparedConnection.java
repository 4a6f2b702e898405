package org.plantainferry.gateway.traffic;

import java.util.Optional;
import org.plantainferry.api.session.LogPosition;

/**
 * Holds a connection that is ready for the statement it was asked for.
 *
 * @param pool where the connection goes back
 * @param connection the connection
 * @param requiredPosition the position that the statement must see, to be sent with a single read
 */
record PreparedConnection(
        ServerConnectionPool pool,
        ServerConnection connection,
        Optional<LogPosition> requiredPosition) {}
