package org.plantainferry.engine.configuration;

import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Verdict;
import org.plantainferry.api.configuration.Workspace;

/**
 * Says for which workspace a request may run, or why it is refused.
 *
 * @since 0.1
 */
public sealed interface AuthenticationResult {
    /**
     * Accepts a request.
     *
     * @param workspace the workspace
     * @param key the key with which it came
     * @since 0.1
     */
    record Granted(Workspace workspace, KeyReference key) implements AuthenticationResult {}

    /**
     * Refuses a request before any part of it ran.
     *
     * @param code the reason
     * @param message the reason for people
     * @param retryAfterMillis milliseconds after which the caller can come back; 0 for none
     * @since 0.1
     */
    record Refused(ErrorCode code, String message, long retryAfterMillis)
            implements AuthenticationResult {
        /** Returns {@link Verdict#NOT_RUN}. */
        public Verdict verdict() {
            return Verdict.NOT_RUN;
        }

        /** Returns the refusal as an exception. */
        public PlantainferryException toException() {
            return new PlantainferryException(code, message, verdict(), retryAfterMillis, null);
        }
    }
}
