package org.plantainferry.gateway.feed;

import java.util.Optional;
import org.plantainferry.engine.catalog.RoutingConfiguration;

/**
 * Decides which known objects of a feed are kept although the store, which may have been restored
 * from a copy, lacks them or holds an older form of them.
 *
 * @since 0.6
 */
interface RestorePolicy<T> {
    /**
     * Returns whether a known object is kept.
     *
     * @param known the content that this instance knows
     * @param stored the content in the store; empty if the store lacks the object
     * @param isLostPossible whether the store may have lost the object since it was known
     */
    boolean keeps(T known, Optional<T> stored, boolean isLostPossible);

    /** Returns a policy that keeps nothing: the store decides. */
    static <T> RestorePolicy<T> keepNothing() {
        return (known, stored, isLostPossible) -> false;
    }

    /** Returns a policy that keeps what was lost until it is written again. */
    static <T> RestorePolicy<T> keepLost() {
        return (known, stored, isLostPossible) -> isLostPossible && stored.isEmpty();
    }

    /** Returns a policy that keeps the configuration with the highest version. */
    static RestorePolicy<RoutingConfiguration> keepHighestVersion() {
        return (known, stored, isLostPossible) ->
                stored.map(older -> older.version() < known.version()).orElse(isLostPossible);
    }
}
