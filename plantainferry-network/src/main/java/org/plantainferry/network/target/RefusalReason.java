package org.plantainferry.network.target;

import java.util.Optional;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.Verdict;

/**
 * Lists the reasons for which a target server refuses a request.
 *
 * @since 0.1
 */
public enum RefusalReason {
    /** The term of the request is not the term that the server is in. */
    STALE_TERM("stale_term", 409, ErrorCode.TARGET_UNAVAILABLE, Verdict.NOT_RUN),
    /** A write reached a server that is not the primary. */
    NOT_PRIMARY("not_primary", 409, ErrorCode.TARGET_UNAVAILABLE, Verdict.NOT_RUN),
    /** The server has not reached the minimum position. */
    BEHIND("behind", 409, ErrorCode.TARGET_UNAVAILABLE, Verdict.NOT_RUN),
    /** The server is leaving its group and accepts no new work. */
    LEAVING("leaving", 409, ErrorCode.TARGET_UNAVAILABLE, Verdict.NOT_RUN),
    /** All slots of the server are in use. */
    BUSY("busy", 503, ErrorCode.OVERLOADED, Verdict.NOT_RUN),
    /** The server has reached its connection limit. */
    TOO_MANY_CONNECTIONS("too_many_connections", 503, ErrorCode.OVERLOADED, Verdict.NOT_RUN),
    /** A majority of the group did not confirm the write to the primary in time. */
    UNCONFIRMED("unconfirmed", 504, ErrorCode.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN),
    /** The server does not understand the statement. */
    BAD_STATEMENT("bad_statement", 400, ErrorCode.STATEMENT_INVALID, Verdict.NOT_RUN),
    /** The answer does not conform to the protocol, so the outcome is unknown. */
    UNREADABLE("", 0, ErrorCode.TARGET_UNAVAILABLE, Verdict.MAY_HAVE_RUN);

    private final String mWireName;
    private final int mStatus;
    private final ErrorCode mCode;
    private final Verdict mVerdict;

    RefusalReason(String wireName, int status, ErrorCode code, Verdict verdict) {
        mWireName = wireName;
        mStatus = status;
        mCode = code;
        mVerdict = verdict;
    }

    /** Returns the name of the reason in JSON; empty for {@link #UNREADABLE}. */
    public String wireName() {
        return mWireName;
    }

    /** Returns the HTTP status that belongs to the reason; 0 for {@link #UNREADABLE}. */
    public int httpStatus() {
        return mStatus;
    }

    /** Returns the error code that a caller receives for this refusal. */
    public ErrorCode code() {
        return mCode;
    }

    /** Returns whether a request that was refused for this reason may have run. */
    public Verdict verdict() {
        return mVerdict;
    }

    /** Returns the reason whose status and wire name both match; empty when there is none. */
    static Optional<RefusalReason> find(int status, String wireName) {
        for (RefusalReason reason : values()) {
            if (reason != UNREADABLE
                    && reason.mStatus == status
                    && reason.mWireName.equals(wireName)) {
                return Optional.of(reason);
            }
        }
        return Optional.empty();
    }
}
