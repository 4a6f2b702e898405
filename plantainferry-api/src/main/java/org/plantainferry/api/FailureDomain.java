package org.plantainferry.api;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a set of instances and targets that a network partition cuts off as a whole.
 *
 * @param value a name as {@link Preconditions#validName} accepts it
 * @since 0.1
 */
public record FailureDomain(@JsonValue String value) implements Comparable<FailureDomain> {
    /** Checks the name. */
    @JsonCreator
    public FailureDomain {
        Preconditions.validName(value, "failureDomain");
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
