package org.plantainferry.api;

/**
 * Lists the codes of all errors that callers and operators can see.
 *
 * @since 0.1
 */
public enum ErrorCode {
    /** An argument of a method is outside its documented range. */
    ARGUMENT_INVALID(400),
    /** The body, a header or the path of a request cannot be read. */
    REQUEST_MALFORMED(400),
    /** The target rejected the text of the statement. */
    STATEMENT_INVALID(400),
    /** The request has no key, or its key is unknown or withdrawn. */
    KEY_INVALID(401),
    /** The workspace may not use the service. */
    SERVICE_FORBIDDEN(403),
    /** No service, route, or transaction has the given name. */
    NOT_FOUND(404),
    /** The transaction ended: its connection was lost, or its key was withdrawn. */
    TRANSACTION_LOST(409),
    /** The body is larger than the limit. */
    BODY_TOO_LARGE(413),
    /** The session token is damaged, or belongs to another workspace or service. */
    SESSION_TOKEN_INVALID(400),
    /** The workspace has used up its rate and burst. */
    RATE_EXCEEDED(429),
    /** The queue of the workspace is full, or its wait would exceed the deadline. */
    OVERLOADED(503),
    /** No server can serve the request now. */
    TARGET_UNAVAILABLE(503),
    /** The deadline passed before the answer was known. */
    DEADLINE_EXCEEDED(504),
    /** The target did not confirm the write. */
    OUTCOME_UNKNOWN(504),
    /** The instance cannot confirm that the key is still valid. */
    CONFIGURATION_STALE(503),
    /** The instance shuts down and takes no new work. */
    DRAINING(503),
    /** Settings, a release note or a configuration have mistakes. */
    CONFIGURATION_INVALID(400),
    /** A release note was written against another version than the one in force. */
    VERSION_CONFLICT(409),
    /** The platform's store did not answer. */
    STORE_UNAVAILABLE(503),
    /** A peer sent a message that cannot be read, or broke the connection. */
    PEER_UNAVAILABLE(503),
    /** A defect of the program. */
    INTERNAL(500);

    private final int mHttpStatus;

    ErrorCode(int httpStatus) {
        mHttpStatus = httpStatus;
    }

    /** Returns the HTTP status with which a caller sees this error. */
    public int httpStatus() {
        return mHttpStatus;
    }
}
