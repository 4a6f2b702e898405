package org.plantainferry.api;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a workspace, the tenant to which keys, rate and burst belong.
 *
 * @param value a name as {@link Preconditions#validName} accepts it
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
