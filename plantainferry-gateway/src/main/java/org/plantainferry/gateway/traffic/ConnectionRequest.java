package org.plantainferry.gateway.traffic;

import java.util.Optional;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.engine.capacity.WorkKind;
import org.plantainferry.engine.catalog.DatabaseRoute;
import org.plantainferry.engine.scheduling.Urgency;
import org.plantainferry.engine.sessionstate.PreparedStatementDefinition;
import org.plantainferry.engine.sessionstate.SessionState;

/**
 * Describes a request for a server connection in the state of a caller session.
 *
 * @param requestId the id of the caller's request, for logs
 * @param workspace the workspace for which the statement runs
 * @param route the route of the operation
 * @param purpose what the connection is for
 * @param workKind the kind of the first statement
 * @param sessionState the session values and prepared statements
 * @param requiredDefinition the prepared statement that the first statement executes, if any
 * @param sessionPosition the log position of the last commit of the session
 * @param arrivedNanos when the statement arrived
 * @param urgency how urgent the statement is
 * @param deadlineNanos the time after which a connection is useless
 * @param hedge whether the statement has already been sent to another server, so that the request
 *     is refused when no other candidate exists
 */
record ConnectionRequest(
        String requestId,
        String workspace,
        DatabaseRoute route,
        ConnectionPurpose purpose,
        WorkKind workKind,
        SessionState sessionState,
        Optional<PreparedStatementDefinition> requiredDefinition,
        Optional<LogPosition> sessionPosition,
        long arrivedNanos,
        Urgency urgency,
        long deadlineNanos,
        boolean hedge) {}
