package org.plantainferry.network.target;

import java.util.Optional;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.Verdict;

/**
 * Lists the reasons for which a server refuses a request.
 *
 * @since 0.1
 */
public enum RefusalReason {
    /** The request names an older term than the server is in, or a newer one. */
    STALE_TERM("stale_term", 409, ErrorCode.TARGET_UNAVAILABLE, Verdict.NOT_RUN),
    /** A write reached a server that is not the primary. */
    NOT_PRIMARY("not_primary", 409, ErrorCode.TARGET_UNAVAILABLE, Verdict.NOT_RUN),
    /** The server has not reached the minimum position. */
    BEHIND("behind", 409, ErrorCode.TARGET_UNAVAILABLE, Verdict.NOT_RUN),
    /** The server leaves its group and takes no new work. */
    LEAVING("leaving", 409, ErrorCode.TARGET_UNAVAILABLE, Verdict.NOT_RUN),
    /** All slots of the server are in use. */
    BUSY("busy", 503, ErrorCode.OVERLOADED, Verdict.NOT_RUN),
    /** The server has as many connections as it accepts. */
    TOO_MANY_CONNECTIONS("too_many_connections", 503, ErrorCode.OVERLOADED, Verdict.NOT_RUN),
    /** The primary did not get a confirmation from a majority. */
    UNCONFIRMED("unconfirmed", 504, ErrorCode.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN),
    /** The server does not understand the statement. */
    BAD_STATEMENT("bad_statement", 400, ErrorCode.STATEMENT_INVALID, Verdict.NOT_RUN),
    /** The answer is none that the protocol knows, so nothing is certain. */
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

    /** Returns the code with which a caller sees this refusal. */
    public ErrorCode code() {
        return mCode;
    }

    /** Returns whether a request that was refused for this reason may have run. */
    public Verdict verdict() {
        return mVerdict;
    }

    /** Returns the reason with a status and a name; both must match. */
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
