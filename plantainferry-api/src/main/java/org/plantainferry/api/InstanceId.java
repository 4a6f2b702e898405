package org.plantainferry.api;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one process of the daemon; a restarted process has a new identifier.
 *
 * @param value a name as {@link Preconditions#validName} accepts it
 * @since 0.1
 */
public record InstanceId(@JsonValue String value) implements Comparable<InstanceId> {
    /** Checks the name. */
    @JsonCreator
    public InstanceId {
        Preconditions.validName(value, "instance");
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
