package org.plantainferry.gateway.traffic;

import java.util.Optional;
import org.plantainferry.gateway.statement.ServerStatus;

/**
 * Holds what a probe learned of a server.
 *
 * @param alive whether the server answered at all
 * @param status what it said about itself, if it said it
 * @since 0.2
 */
public record ProbeAnswer(boolean alive, Optional<ServerStatus> status) {
    /** The server did not answer. */
    public static final ProbeAnswer NONE = new ProbeAnswer(false, Optional.empty());

    /** The server answered without its state. */
    public static final ProbeAnswer ALIVE = new ProbeAnswer(true, Optional.empty());
}
