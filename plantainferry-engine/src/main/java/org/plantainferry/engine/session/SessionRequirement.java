package org.plantainferry.engine.session;

import java.util.Optional;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.WorkspaceName;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.api.session.SessionToken;

/**
 * States what a session demands of the next answer, and makes the token that goes out with it.
 *
 * @param workspace the workspace of the request
 * @param service the service of the request
 * @param minimum the place in the log that the answer must have reached
 * @since 0.1
 */
public record SessionRequirement(
        WorkspaceName workspace, ServiceName service, LogPosition minimum) {
    /** Checks that nothing is missing. */
    public SessionRequirement {
        Preconditions.notNull(workspace, "workspace");
        Preconditions.notNull(service, "service");
        Preconditions.notNull(minimum, "minimum");
    }

    /**
     * Returns the requirement of a request; one without a token demands nothing.
     *
     * @throws PlantainferryException with {@link ErrorCode#SESSION_TOKEN_INVALID} when the token
     *     belongs to another workspace or service
     */
    public static SessionRequirement of(
            Optional<SessionToken> token, WorkspaceName workspace, ServiceName service) {
        Preconditions.notNull(token, "token");
        Preconditions.notNull(workspace, "workspace");
        Preconditions.notNull(service, "service");
        if (token.isEmpty()) {
            return new SessionRequirement(workspace, service, LogPosition.START);
        }
        // The message does not name the other workspace, which the caller may not know.
        if (!token.get().workspace().equals(workspace)) {
            throw new PlantainferryException(
                    ErrorCode.SESSION_TOKEN_INVALID,
                    "the session token belongs to another workspace");
        }
        if (!token.get().service().equals(service)) {
            throw new PlantainferryException(
                    ErrorCode.SESSION_TOKEN_INVALID,
                    "the session token belongs to another service");
        }
        return new SessionRequirement(workspace, service, token.get().seen());
    }

    /** Returns whether an answer from this place in the log shows all that the session has seen. */
    public boolean isSatisfiedBy(LogPosition answered) {
        Preconditions.notNull(answered, "answered");
        return answered.term() >= minimum.term() && answered.position() >= minimum.position();
    }

    /**
     * Returns the token that goes out with an answer.
     *
     * <p>It is never earlier than the token that came in, so a later read cannot go back in time.
     */
    public SessionToken nextToken(LogPosition answered) {
        Preconditions.notNull(answered, "answered");
        return new SessionToken(workspace, service, minimum.merge(answered));
    }
}
