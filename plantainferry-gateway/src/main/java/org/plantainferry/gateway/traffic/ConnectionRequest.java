package org.plantainferry.gateway.traffic;

import java.util.Optional;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.engine.catalog.DatabaseRoute;
import org.plantainferry.engine.sessionstate.PreparedStatementDefinition;
import org.plantainferry.engine.sessionstate.SessionState;

/**
 * Asks for a server connection in the state of a session.
 *
 * @param requestId the id of the caller's request, for logs
 * @param workspace for which the statement runs
 * @param route the route of the operation
 * @param purpose what the connection is for
 * @param sessionState the values and names of the session
 * @param requiredDefinition the prepared statement that runs first, if any
 * @param sessionPosition the log position of the last commit of the session
 * @param arrivedNanos when the operation arrived
 * @param deadlineNanos until when a connection is useful
 * @param hedge whether the statement is on its way to another server already, so that it is not
 *     worth waiting for one
 */
record ConnectionRequest(
        String requestId,
        String workspace,
        DatabaseRoute route,
        ConnectionPurpose purpose,
        SessionState sessionState,
        Optional<PreparedStatementDefinition> requiredDefinition,
        Optional<LogPosition> sessionPosition,
        long arrivedNanos,
        long deadlineNanos,
        boolean hedge) {}
