package org.plantainferry.api;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one target server of a service; unique over all services.
 *
 * @param value a name as {@link Preconditions#validName} accepts it
 * @since 0.1
 */
public record ServerId(@JsonValue String value) implements Comparable<ServerId> {
    /** Checks the name. */
    @JsonCreator
    public ServerId {
        Preconditions.validName(value, "server");
    }

    @Override
    public int compareTo(ServerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
