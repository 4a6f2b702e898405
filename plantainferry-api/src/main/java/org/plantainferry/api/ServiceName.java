package org.plantainferry.api;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a service by the name that callers use for the database.
 *
 * @param value a name that {@link Preconditions#validName} accepts
 * @since 0.1
 */
public record ServiceName(@JsonValue String value) implements Comparable<ServiceName> {
    /** Checks the name. */
    @JsonCreator
    public ServiceName {
        Preconditions.validName(value, "service");
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
