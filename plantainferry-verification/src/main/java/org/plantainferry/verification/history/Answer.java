package org.plantainferry.verification.history;

import java.util.Optional;
import org.plantainferry.api.session.LogPosition;

/**
 * Describes one answer as its client received it.
 *
 * @param status the HTTP status
 * @param verdict the value of the verdict header; empty when the header is missing
 * @param code the code of a refusal; empty for a result
 * @param result the result; empty when there is none or the value that was read is absent
 * @param server the server that ran the statement; empty for none
 * @param role the role of that server; empty for none
 * @param term the term of the answer
 * @param position the log position of the answer
 * @param sessionOut the position in the session token of the answer
 * @param sessionWorkspace the workspace in that token
 * @param answeredBy the value of the instance header; empty when the header is missing
 * @param retryAfterMillis the delay before a retry; 0 for none
 * @since 0.1
 */
public record Answer(
        int status,
        String verdict,
        String code,
        Optional<String> result,
        String server,
        String role,
        long term,
        long position,
        Optional<LogPosition> sessionOut,
        Optional<String> sessionWorkspace,
        String answeredBy,
        long retryAfterMillis) {
    private static final int OK = 200;

    /** Returns whether the request ran and the answer is its result. */
    public boolean isSuccess() {
        return status == OK && verdict.equals("RUN");
    }

    /** Returns whether the answer says that the request did not run. */
    public boolean isNotRun() {
        return verdict.equals("NOT_RUN");
    }
}
