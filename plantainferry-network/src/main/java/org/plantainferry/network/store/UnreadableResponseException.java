package org.plantainferry.network.store;

import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Verdict;

/** Thrown when a response of the store does not conform to its documented protocol. */
final class UnreadableResponseException extends PlantainferryException {
    private static final long serialVersionUID = 1L;

    UnreadableResponseException(String message) {
        super(ErrorCode.STORE_UNAVAILABLE, message, Verdict.MAY_HAVE_RUN, 0, null);
    }
}
