package org.plantainferry.api;

/**
 * Reports an error with its code and the verdict on the request that met it.
 *
 * @since 0.1
 */
public class PlantainferryException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode mCode;
    private final Verdict mVerdict;
    private final long mRetryAfterMillis;

    /** Creates an error before which nothing ran and for which no retry time is known. */
    public PlantainferryException(ErrorCode code, String message) {
        this(code, message, Verdict.NOT_RUN, 0, null);
    }

    /** Creates an error with a cause, before which nothing ran. */
    public PlantainferryException(ErrorCode code, String message, Throwable cause) {
        this(code, message, Verdict.NOT_RUN, 0, cause);
    }

    /**
     * Creates an error with all details.
     *
     * @param retryAfterMillis milliseconds after which the caller can come back; 0 for none
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

    /** Returns the milliseconds after which the caller can come back; 0 for none. */
    public long retryAfterMillis() {
        return mRetryAfterMillis;
    }
}
