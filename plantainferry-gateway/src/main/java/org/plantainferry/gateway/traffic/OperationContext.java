package org.plantainferry.gateway.traffic;

import org.plantainferry.engine.catalog.DatabaseRoute;
import org.plantainferry.engine.sessionstate.SessionState;

/**
 * Holds what one operation of a session needs.
 *
 * @param workspace for which it runs
 * @param route the route at its start
 * @param sessionState the values and names of the session
 * @param positions the positions of the commits of the session
 */
record OperationContext(
        String workspace,
        DatabaseRoute route,
        SessionState sessionState,
        SessionPositions positions) {}
