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
public record ProbeResult(boolean alive, Optional<ServerStatus> status) {
    /** The server did not answer. */
    public static final ProbeResult UNREACHABLE = new ProbeResult(false, Optional.empty());

    /** The server answered without its state. */
    public static final ProbeResult ALIVE_WITHOUT_STATUS = new ProbeResult(true, Optional.empty());
}
