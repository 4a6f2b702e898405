package org.plantainferry.engine.scheduling;

import java.util.Set;
import org.plantainferry.api.Preconditions;

/**
 * Describes the room and the connections of one server, for the decision what to do next.
 *
 * @param inProgress the number of statements in progress, of granted connections whose statement
 *     was not sent yet, and of connections that are being opened
 * @param limit how many of them there may be; {@link Integer#MAX_VALUE} for no limit
 * @param idleWorkspaces the workspaces that have an idle connection
 * @param mayOpen whether a connection can be opened now, possibly in place of an idle one
 * @param openingDisplaces whether an idle connection would be closed for it
 * @since 0.4
 */
public record DispatchState(
        int inProgress,
        int limit,
        Set<String> idleWorkspaces,
        boolean mayOpen,
        boolean openingDisplaces) {
    /** Checks that nothing is missing. */
    public DispatchState {
        Preconditions.notNull(idleWorkspaces, "idleWorkspaces");
    }

    boolean isLimited() {
        return limit < Integer.MAX_VALUE;
    }

    boolean hasRoom() {
        return inProgress < limit;
    }

    boolean hasRoomForTwo() {
        return inProgress + 1 < limit;
    }

    boolean isIdle(String workspace) {
        return idleWorkspaces.contains(workspace);
    }
}
