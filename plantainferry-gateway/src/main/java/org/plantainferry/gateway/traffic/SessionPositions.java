package org.plantainferry.gateway.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.plantainferry.api.session.LogPosition;

/** Holds, for each service, the highest log position that a commit of one session reached. */
final class SessionPositions {
    private final Map<String, LogPosition> mByService = new HashMap<>();

    void record(String service, LogPosition position) {
        mByService.merge(
                service, position, (before, after) -> after.compareTo(before) > 0 ? after : before);
    }

    Optional<LogPosition> of(String service) {
        return Optional.ofNullable(mByService.get(service));
    }
}
