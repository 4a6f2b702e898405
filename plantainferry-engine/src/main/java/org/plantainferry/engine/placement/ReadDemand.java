package org.plantainferry.engine.placement;

import java.util.Optional;
import java.util.Set;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.engine.capacity.WorkKind;

/**
 * Describes a read for which a server is selected.
 *
 * @param kind the kind of work
 * @param required the log position that the read requires; empty when data of any age is acceptable
 * @param excluded the ids of servers that have already refused this read
 * @param objectiveNanos until when the read is served within its latency objective
 * @param mayProbe whether the read may be sent to a server to find out how fast it is
 * @since 0.4
 */
public record ReadDemand(
        WorkKind kind,
        Optional<LogPosition> required,
        Set<String> excluded,
        long objectiveNanos,
        boolean mayProbe) {
    /** Checks that nothing is missing. */
    public ReadDemand {
        Preconditions.notNull(kind, "kind");
        Preconditions.notNull(required, "required");
        Preconditions.notNull(excluded, "excluded");
    }
}
