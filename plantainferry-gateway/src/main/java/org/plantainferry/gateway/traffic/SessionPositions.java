package org.plantainferry.gateway.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.plantainferry.api.session.LogPosition;

/** Remembers the log position of the last commit of one session in each group. */
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
