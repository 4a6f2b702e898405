package org.plantainferry.network.target;

import java.util.Optional;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.ServerRole;

/**
 * Holds the state of a server as it reports it.
 *
 * @param server the server
 * @param group the name of its group
 * @param role its role
 * @param term its term
 * @param termStart the position at which its term began
 * @param position the position up to which its log reaches
 * @param confirmedPosition the position up to which a majority has confirmed
 * @param primaryContactAgeMillis the age of its last contact with the primary; empty when it had
 *     none
 * @param lagMillis the age of its data, if it knows it
 * @param leaving whether it takes no new work
 * @param slots statements that it runs at the same time
 * @param connectionLimit connections that it accepts
 * @since 0.1
 */
public record ServerState(
        ServerId server,
        String group,
        ServerRole role,
        long term,
        long termStart,
        long position,
        long confirmedPosition,
        Optional<Long> primaryContactAgeMillis,
        Optional<Long> lagMillis,
        boolean leaving,
        int slots,
        int connectionLimit) {
    /** Checks that nothing required is missing; negative ages count as unknown. */
    public ServerState {
        Preconditions.notNull(server, "server");
        Preconditions.notNull(group, "group");
        Preconditions.notNull(role, "role");
        Preconditions.condition(term >= 0, "term must not be negative: " + term);
        Preconditions.condition(position >= 0, "position must not be negative: " + position);
        primaryContactAgeMillis = knownAge(primaryContactAgeMillis);
        lagMillis = knownAge(lagMillis);
    }

    private static Optional<Long> knownAge(Optional<Long> age) {
        return age == null ? Optional.empty() : age.filter(millis -> millis >= 0);
    }
}
