package org.plantainferry.api;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a workspace, the tenant that owns keys, a rate and a burst.
 *
 * @param value a name that {@link Preconditions#validName} accepts
 * @since 0.1
 */
public record WorkspaceName(@JsonValue String value) implements Comparable<WorkspaceName> {
    /** Checks the name. */
    @JsonCreator
    public WorkspaceName {
        Preconditions.validName(value, "workspace");
    }

    @Override
    public int compareTo(WorkspaceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
