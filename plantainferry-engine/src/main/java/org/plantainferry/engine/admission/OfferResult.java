package org.plantainferry.engine.admission;

import java.util.Optional;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.Verdict;

/**
 * Describes whether a queue accepted a request.
 *
 * @param <T> the type of the requests
 * @since 0.1
 */
public sealed interface OfferResult<T> {
    /**
     * The request waits in the queue.
     *
     * @param displaced a request of a workspace with a longer queue, which is refused instead
     *     because the total limit is reached; empty if there is none
     */
    record Queued<T>(Optional<T> displaced) implements OfferResult<T> {
        /** Checks that all values are present. */
        public Queued {
            Preconditions.notNull(displaced, "displaced");
        }
    }

    /**
     * The request did not run and will not run.
     *
     * @param reason why it was refused
     * @param retryAfterMillis milliseconds after which a retry is likely to be accepted
     */
    record Refused<T>(Reason reason, long retryAfterMillis) implements OfferResult<T> {
        /** Checks that all values are present. */
        public Refused {
            Preconditions.notNull(reason, "reason");
        }

        /** Returns the error for the caller. */
        public PlantainferryException toException() {
            return new PlantainferryException(
                    ErrorCode.OVERLOADED,
                    reason.message(),
                    Verdict.NOT_RUN,
                    retryAfterMillis,
                    null);
        }
    }

    /** Lists the reasons for which a queue refuses a request. */
    enum Reason {
        /** The workspace has too many waiting requests. */
        WORKSPACE_LIMIT("the queue of the workspace is full"),
        /** All workspaces together have too many waiting requests. */
        TOTAL_LIMIT("the queue of the service is full"),
        /** The estimated wait is longer than the remaining deadline. */
        WAIT_TOO_LONG("the request would wait past its deadline");

        private final String mMessage;

        Reason(String message) {
            mMessage = message;
        }

        /** Returns the message for the caller. */
        public String message() {
            return mMessage;
        }
    }
}
