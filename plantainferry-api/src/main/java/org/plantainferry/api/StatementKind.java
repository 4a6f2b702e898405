package org.plantainferry.api;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Distinguishes statements that only read from those that may write.
 *
 * @since 0.1
 */
public enum StatementKind {
    /** Changes no data; may run on a replica and may be retried. */
    READ("read"),
    /** May change data; runs only on the primary. */
    WRITE("write");

    private final String mWireName;

    StatementKind(String wireName) {
        mWireName = wireName;
    }

    /** Returns the name of the kind in JSON. */
    @JsonValue
    public String wireName() {
        return mWireName;
    }

    /**
     * Returns the kind with the given name in JSON.
     *
     * @throws PlantainferryException with {@link ErrorCode#REQUEST_MALFORMED} for an unknown name
     */
    @JsonCreator
    public static StatementKind fromWireName(String wireName) {
        for (StatementKind kind : values()) {
            if (kind.mWireName.equals(wireName)) {
                return kind;
            }
        }
        throw new PlantainferryException(
                ErrorCode.REQUEST_MALFORMED, "kind must be \"read\" or \"write\"");
    }
}
