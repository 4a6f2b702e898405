package org.plantainferry.gateway.traffic;

import java.util.List;
import org.plantainferry.gateway.statement.FailureCode;

/** Describes the outcome of one statement, as reported to the caller. */
sealed interface OperationResult {
    /** A successful result. */
    record Done(List<String> rows, String signature) implements OperationResult {}

    /** A refusal or failure. */
    record Failed(FailureCode code, String reason) implements OperationResult {
        /** Returns a refusal of a statement that has not run, with a retry delay. */
        static Failed notRun(String reason, long retryAfterMillis) {
            return refused("not run", reason, retryAfterMillis);
        }

        /** Returns a refusal of a read that may have run on a server whose answer was lost. */
        static Failed notAnswered(String reason, long retryAfterMillis) {
            return refused("not answered", reason, retryAfterMillis);
        }

        /** Returns a refusal of a transaction that is rolled back, with a retry delay. */
        static Failed nothingKept(String reason, long retryAfterMillis) {
            return refused("nothing kept", reason, retryAfterMillis);
        }

        private static Failed refused(String outcome, String reason, long retryAfterMillis) {
            return new Failed(
                    FailureCode.BUSY,
                    outcome + ": " + reason + "; retry after " + retryAfterMillis + " ms");
        }
    }
}
