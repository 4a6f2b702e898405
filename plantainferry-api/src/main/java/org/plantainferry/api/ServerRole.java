package org.plantainferry.api;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Lists the roles of a server in its group.
 *
 * @since 0.1
 */
public enum ServerRole {
    /** Accepts writes in its term. */
    PRIMARY("primary"),
    /** Replicates the log of the primary. */
    REPLICA("replica"),
    /** Is fenced or starting, and follows no primary. */
    NONE("none");

    private final String mWireName;

    ServerRole(String wireName) {
        mWireName = wireName;
    }

    /** Returns the name of the role in JSON. */
    @JsonValue
    public String wireName() {
        return mWireName;
    }

    /**
     * Returns the role with the given name in JSON.
     *
     * @throws PlantainferryException with {@code REQUEST_MALFORMED} for an unknown name
     */
    @JsonCreator
    public static ServerRole fromWireName(String wireName) {
        for (ServerRole role : values()) {
            if (role.mWireName.equals(wireName)) {
                return role;
            }
        }
        throw new PlantainferryException(
                ErrorCode.REQUEST_MALFORMED, "role must be primary, replica or none");
    }
}
