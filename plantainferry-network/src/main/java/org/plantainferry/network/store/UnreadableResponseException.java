package org.plantainferry.network.store;

import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Verdict;

/** Reports an answer of the store that is none of those that its protocol documents. */
final class UnreadableResponseException extends PlantainferryException {
    private static final long serialVersionUID = 1L;

    UnreadableResponseException(String message) {
        super(ErrorCode.STORE_UNAVAILABLE, message, Verdict.MAY_HAVE_RUN, 0, null);
    }
}
