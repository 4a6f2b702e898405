package org.plantainferry.daemon.traffic;

import org.plantainferry.engine.routing.ServerObservation;
import org.plantainferry.network.target.ServerState;

/**
 * Converts the states that servers report to what routing observes.
 *
 * @since 0.1
 */
public final class ServerObservations {
    private ServerObservations() {}

    /** Returns the observation that a state amounts to. */
    public static ServerObservation fromState(ServerState state) {
        return new ServerObservation(
                state.server(),
                state.role(),
                state.term(),
                state.position(),
                state.lagMillis().orElse(0L),
                state.leaving());
    }
}
