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
 * @param retryAfterMillis milliseconds after which the caller can retry; 0 for no suggestion
 * @since 0.1
 */
public record CallerAnswer(
        int status, Verdict verdict, String body, Optional<String> session, long retryAfterMillis) {
    private static final int OK = 200;

    /** Returns a successful answer with a body that is written as JSON. */
    public static CallerAnswer result(Object body, Optional<String> session) {
        return new CallerAnswer(OK, Verdict.RUN, Json.write(body), session, 0);
    }

    /** Returns the answer that reports an error to the caller. */
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

    /**
     * Returns the answer to a failure; one without an error code is reported as {@code INTERNAL}.
     */
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
     * Defines the JSON form of a refusal.
     *
     * @param code the error code
     * @param message the explanation
     * @param verdict whether the request may have run
     * @param retryAfterMillis milliseconds after which the caller can retry; 0 for no suggestion
     */
    public record RefusalBody(
            String code, String message, Verdict verdict, long retryAfterMillis) {}
}
