package org.plantainferry.gateway.traffic;

import java.util.Optional;
import org.plantainferry.gateway.statement.ServerStatus;

/**
 * Holds the result of probing a server.
 *
 * @param alive whether the server answered at all
 * @param status the status that the server reported, if any
 * @since 0.2
 */
public record ProbeResult(boolean alive, Optional<ServerStatus> status) {
    /** The result when the server did not answer. */
    public static final ProbeResult UNREACHABLE = new ProbeResult(false, Optional.empty());

    /** The result when the server answered without reporting its status. */
    public static final ProbeResult ALIVE_WITHOUT_STATUS = new ProbeResult(true, Optional.empty());
}
