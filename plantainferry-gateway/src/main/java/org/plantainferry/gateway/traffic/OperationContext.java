package org.plantainferry.gateway.traffic;

import org.plantainferry.engine.catalog.DatabaseRoute;
import org.plantainferry.engine.sessionstate.SessionState;

/**
 * Holds the context in which one operation of a session runs.
 *
 * @param workspace the workspace for which it runs
 * @param route the route at its start
 * @param sessionState the session values and prepared statements
 * @param positions the log positions of the commits of the session
 */
record OperationContext(
        String workspace,
        DatabaseRoute route,
        SessionState sessionState,
        SessionPositions positions) {}
