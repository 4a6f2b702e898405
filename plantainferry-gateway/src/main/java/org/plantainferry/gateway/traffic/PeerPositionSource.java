package org.plantainferry.gateway.traffic;

import java.util.Optional;
import java.util.function.Consumer;
import org.plantainferry.engine.freshness.TimedPosition;

/**
 * Requests log positions of primaries from another instance of the same failure domain.
 *
 * <p>In a large fleet, sampling by every instance would use up most connections of a primary.
 *
 * @since 0.3
 */
public interface PeerPositionSource {
    /**
     * Requests a position. Called on the traffic thread.
     *
     * @param maximumAgeMillis the maximum age of the position at the time of the call, in
     *     milliseconds
     * @param callback runs once, on the traffic thread; receives nothing when none was obtained,
     *     and then this instance has to sample the primary itself
     */
    void requestPosition(
            String service, long maximumAgeMillis, Consumer<Optional<TimedPosition>> callback);
}
