package org.plantainferry.gateway.traffic;

import org.plantainferry.engine.catalog.DatabaseRoute;
import org.plantainferry.gateway.statement.FailureCode;

/** Describes whether an operation or a statement is admitted. */
sealed interface Admission {
    /** It is admitted. */
    record Granted(String workspace, DatabaseRoute route) implements Admission {}

    /**
     * It is refused, and nothing has run.
     *
     * @param retryAfterMillis milliseconds after which the caller may retry; 0 when a retry is
     *     useless
     */
    record Refused(FailureCode code, String reason, long retryAfterMillis) implements Admission {
        /** Returns what the caller is told. */
        String text() {
            if (code != FailureCode.BUSY) {
                return reason;
            }
            return "not run: " + reason + "; retry after " + retryAfterMillis + " ms";
        }
    }
}
