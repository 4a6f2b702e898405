package org.plantainferry.engine.routing;

import org.plantainferry.api.Preconditions;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.ServerRole;

/**
 * Describes the state of a server as reported in one of its answers.
 *
 * @param server the server that answered
 * @param role its role at the time of the answer
 * @param term its term; 0 before the first term
 * @param position the latest position of its log
 * @param lagMillis the age of its data in milliseconds; 0 for a primary
 * @param leaving whether it accepts no new work
 * @since 0.1
 */
public record ServerObservation(
        ServerId server,
        ServerRole role,
        long term,
        long position,
        long lagMillis,
        boolean leaving) {
    /** Validates the components. */
    public ServerObservation {
        Preconditions.notNull(server, "server");
        Preconditions.notNull(role, "role");
        Preconditions.condition(term >= 0, "term must not be negative: " + term);
        Preconditions.condition(position >= 0, "position must not be negative: " + position);
        Preconditions.condition(lagMillis >= 0, "lagMillis must not be negative: " + lagMillis);
    }
}
