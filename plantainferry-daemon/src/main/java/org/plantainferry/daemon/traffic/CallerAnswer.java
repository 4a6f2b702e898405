package org.plantainferry.daemon.traffic;

import java.util.Optional;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Verdict;
import org.plantainferry.api.json.Json;

/**
 * Holds the final answer to a caller's request.
 *
 * @param status the HTTP status
 * @param verdict whether the request ran
 * @param body JSON text
 * @param session the text of the session token; empty for none
 * @param retryAfterMillis milliseconds after which the caller can come back; 0 for none
 * @since 0.1
 */
public record CallerAnswer(
        int status, Verdict verdict, String body, Optional<String> session, long retryAfterMillis) {
    private static final int OK = 200;

    /** Returns the answer with a result. */
    public static CallerAnswer result(Object body, Optional<String> session) {
        return new CallerAnswer(OK, Verdict.RUN, Json.write(body), session, 0);
    }

    /** Returns the answer that tells the caller of an error. */
    public static CallerAnswer refusal(PlantainferryException error) {
        RefusalBody body =
                new RefusalBody(
                        error.code().name(),
                        error.getMessage(),
                        error.verdict(),
                        error.retryAfterMillis());
        return new CallerAnswer(
                error.code().httpStatus(),
                error.verdict(),
                Json.write(body),
                Optional.empty(),
                error.retryAfterMillis());
    }

    /** Returns the answer to any failure; failures without a code count as defects. */
    public static CallerAnswer failure(Throwable failure) {
        if (failure instanceof PlantainferryException error) {
            return refusal(error);
        }
        return refusal(
                new PlantainferryException(
                        ErrorCode.INTERNAL,
                        "unexpected " + failure.getClass().getSimpleName(),
                        Verdict.MAY_HAVE_RUN,
                        0,
                        failure));
    }

    /**
     * Gives the form of a refusal in JSON.
     *
     * @param code the error code
     * @param message the explanation
     * @param verdict whether the request may have run
     * @param retryAfterMillis when to come back; 0 for unknown
     */
    public record RefusalBody(
            String code, String message, Verdict verdict, long retryAfterMillis) {}
}
