package org.plantainferry.network.store;

import java.util.Optional;

/**
 * Defines the condition under which an object is written.
 *
 * @param version the version that the object must have; empty when it must not exist
 * @since 0.1
 */
public record WriteCondition(Optional<Long> version) {
    /** The object must not exist. */
    public static final WriteCondition ABSENT = new WriteCondition(Optional.empty());

    /** Returns the condition that the object has the given version. */
    public static WriteCondition atVersion(long version) {
        return new WriteCondition(Optional.of(version));
    }
}
