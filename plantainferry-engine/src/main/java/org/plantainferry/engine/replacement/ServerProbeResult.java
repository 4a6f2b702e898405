package org.plantainferry.engine.replacement;

import org.plantainferry.api.Preconditions;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.ServerRole;

/**
 * Holds the part of a server's state that decides on its replacement.
 *
 * @param server the server
 * @param role its role
 * @param term the term it is in, or was fenced with
 * @param position the number of its log entries
 * @param primaryContactAgeMillis milliseconds since it last had contact with the primary of its
 *     term; a large number when it never had
 * @param leaving whether it is about to stop
 * @since 0.1
 */
public record ServerProbeResult(
        ServerId server,
        ServerRole role,
        long term,
        long position,
        long primaryContactAgeMillis,
        boolean leaving) {
    /** Checks that nothing is missing. */
    public ServerProbeResult {
        Preconditions.notNull(server, "server");
        Preconditions.notNull(role, "role");
    }
}
