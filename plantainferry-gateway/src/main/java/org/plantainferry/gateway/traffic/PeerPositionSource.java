package org.plantainferry.gateway.traffic;

import java.util.Optional;
import java.util.function.Consumer;
import org.plantainferry.engine.freshness.TimedPosition;

/**
 * Gets log positions of primaries from another instance of the failure domain.
 *
 * <p>In a large fleet a sample by each instance would take most connections of a primary.
 *
 * @since 0.3
 */
public interface PeerPositionSource {
    /**
     * Asks for a position; for the traffic thread.
     *
     * @param maximumAgeMillis how old the position may be now
     * @param callback runs once, on the traffic thread; without a position this instance has to ask
     *     the primary itself
     */
    void requestPosition(
            String service, long maximumAgeMillis, Consumer<Optional<TimedPosition>> callback);
}
