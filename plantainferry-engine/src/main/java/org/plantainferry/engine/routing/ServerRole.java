package org.plantainferry.engine.routing;

import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;

/**
 * Tells what a server does in its group, as the server itself reports it.
 *
 * @since 0.1
 */
public enum ServerRole {
    /** Accepts writes of its term. */
    PRIMARY("primary"),
    /** Replays the log of the primary. */
    REPLICA("replica"),
    /** Is fenced or has not joined; serves nothing. */
    NONE("none");

    private final String mWireName;

    ServerRole(String wireName) {
        mWireName = wireName;
    }

    /** Returns the name of the role in JSON. */
    public String wireName() {
        return mWireName;
    }

    /**
     * Returns the role with a name in JSON.
     *
     * @throws PlantainferryException with {@link ErrorCode#REQUEST_MALFORMED} for another name
     */
    public static ServerRole fromWireName(String wireName) {
        for (ServerRole role : values()) {
            if (role.mWireName.equals(wireName)) {
                return role;
            }
        }
        throw new PlantainferryException(
                ErrorCode.REQUEST_MALFORMED, "unknown role of a server: " + wireName);
    }
}
