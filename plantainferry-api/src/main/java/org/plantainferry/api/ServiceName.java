package org.plantainferry.api;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a database as callers name it.
 *
 * @param value a name as {@link Preconditions#validName} accepts it
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
