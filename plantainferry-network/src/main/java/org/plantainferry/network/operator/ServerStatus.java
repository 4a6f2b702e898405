package org.plantainferry.network.operator;

import java.util.Optional;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.ServerId;

/**
 * Describes a target server as an instance knows it.
 *
 * @param server the server
 * @param role its role, {@code primary}, {@code replica} or {@code none}
 * @param term its term
 * @param position the last known log position
 * @param lagMillis the estimated age of its data; absent when unknown
 * @param reachable whether the instance can reach it
 * @param leaving whether it is leaving its group and gets no new work
 * @since 0.1
 */
public record ServerStatus(
        ServerId server,
        String role,
        long term,
        long position,
        Optional<Long> lagMillis,
        boolean reachable,
        boolean leaving) {
    /** Checks that nothing required is missing. */
    public ServerStatus {
        Preconditions.notNull(server, "server");
        Preconditions.notNull(role, "role");
        lagMillis = lagMillis == null ? Optional.empty() : lagMillis;
    }
}
