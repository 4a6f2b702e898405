package org.plantainferry.engine.configuration;

import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Verdict;
import org.plantainferry.api.configuration.Workspace;

/**
 * Describes the workspace for which a request may run, or why the request is refused.
 *
 * @since 0.1
 */
public sealed interface AuthenticationResult {
    /**
     * Accepts the request.
     *
     * @param workspace the workspace for which the request runs
     * @param key the key that the request presented
     * @since 0.1
     */
    record Granted(Workspace workspace, KeyReference key) implements AuthenticationResult {}

    /**
     * Refuses the request before any part of it has run.
     *
     * @param code the error code
     * @param message the human-readable reason
     * @param retryAfterMillis milliseconds after which the caller may retry; 0 if a retry is of no
     *     use
     * @since 0.1
     */
    record Refused(ErrorCode code, String message, long retryAfterMillis)
            implements AuthenticationResult {
        /** Returns {@link Verdict#NOT_RUN}. */
        public Verdict verdict() {
            return Verdict.NOT_RUN;
        }

        /** Returns an exception with the code, message and retry time of this refusal. */
        public PlantainferryException toException() {
            return new PlantainferryException(code, message, verdict(), retryAfterMillis, null);
        }
    }
}
