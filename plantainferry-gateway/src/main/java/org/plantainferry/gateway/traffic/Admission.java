package org.plantainferry.gateway.traffic;

import org.plantainferry.engine.catalog.DatabaseRoute;
import org.plantainferry.gateway.statement.FailureCode;

/** Says whether an operation or a statement may go on. */
sealed interface Admission {
    /** It may. */
    record Granted(String workspace, DatabaseRoute route) implements Admission {}

    /**
     * It may not, and nothing has run.
     *
     * @param retryAfterMillis when the caller may come back; 0 when coming back is of no use
     */
    record Refused(FailureCode code, String reason, long retryAfterMillis) implements Admission {}
}
