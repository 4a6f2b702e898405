package org.plantainferry.api;

/**
 * Lists the codes of all errors that callers and operators can receive.
 *
 * @since 0.1
 */
public enum ErrorCode {
    /** An argument of a method is outside its documented range. */
    ARGUMENT_INVALID(400),
    /** The body, a header or the path of a request is malformed. */
    REQUEST_MALFORMED(400),
    /** The target rejected the text of the statement. */
    STATEMENT_INVALID(400),
    /** The request has no key, or its key is unknown or withdrawn. */
    KEY_INVALID(401),
    /** The workspace may not use the service. */
    SERVICE_FORBIDDEN(403),
    /** No service, route or transaction has the given name. */
    NOT_FOUND(404),
    /** The transaction has ended because its connection was lost or its key was withdrawn. */
    TRANSACTION_LOST(409),
    /** The body is larger than the limit. */
    BODY_TOO_LARGE(413),
    /** The session token is damaged, or belongs to another workspace or service. */
    SESSION_TOKEN_INVALID(400),
    /** The workspace has used up its rate and burst. */
    RATE_EXCEEDED(429),
    /** The queue of the workspace is full, or the wait in it would exceed the deadline. */
    OVERLOADED(503),
    /** No server can serve the request now. */
    TARGET_UNAVAILABLE(503),
    /** The deadline passed before the answer was known. */
    DEADLINE_EXCEEDED(504),
    /** The target did not confirm the write. */
    OUTCOME_UNKNOWN(504),
    /** The instance cannot confirm that the key is still valid. */
    CONFIGURATION_STALE(503),
    /** The instance is shutting down and accepts no new work. */
    DRAINING(503),
    /** Settings, a release note or a configuration are invalid. */
    CONFIGURATION_INVALID(400),
    /** A release note was written against another version than the one in force. */
    VERSION_CONFLICT(409),
    /** The platform's store did not respond. */
    STORE_UNAVAILABLE(503),
    /** A peer cannot be reached, lost the connection or sent an unreadable message. */
    PEER_UNAVAILABLE(503),
    /** An internal error, caused by a defect in the program. */
    INTERNAL(500);

    private final int mHttpStatus;

    ErrorCode(int httpStatus) {
        mHttpStatus = httpStatus;
    }

    /** Returns the HTTP status that a caller receives with this error. */
    public int httpStatus() {
        return mHttpStatus;
    }
}
