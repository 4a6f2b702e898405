package org.plantainferry.api;

/**
 * Signals an error, with its code and the verdict on the failed request.
 *
 * @since 0.1
 */
public class PlantainferryException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode mCode;
    private final Verdict mVerdict;
    private final long mRetryAfterMillis;

    /** Creates an exception with the verdict {@code NOT_RUN} and no retry time. */
    public PlantainferryException(ErrorCode code, String message) {
        this(code, message, Verdict.NOT_RUN, 0, null);
    }

    /** Creates an exception with a cause, the verdict {@code NOT_RUN} and no retry time. */
    public PlantainferryException(ErrorCode code, String message, Throwable cause) {
        this(code, message, Verdict.NOT_RUN, 0, cause);
    }

    /**
     * Creates an exception with all details.
     *
     * @param retryAfterMillis milliseconds after which the caller can retry; 0 for unknown
     * @param cause the cause, or null
     */
    public PlantainferryException(
            ErrorCode code,
            String message,
            Verdict verdict,
            long retryAfterMillis,
            Throwable cause) {
        super(message, cause);
        mCode = code;
        mVerdict = verdict;
        mRetryAfterMillis = retryAfterMillis;
    }

    /** Returns the code of the error. */
    public ErrorCode code() {
        return mCode;
    }

    /** Returns whether the request may have run. */
    public Verdict verdict() {
        return mVerdict;
    }

    /** Returns the milliseconds after which the caller can retry; 0 for unknown. */
    public long retryAfterMillis() {
        return mRetryAfterMillis;
    }
}
