package org.plantainferry.verification.standin.group;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Optional;

/** Holds the bodies of the answers of a database server (section 13.2 of the design page). */
final class GroupResponses {
    private GroupResponses() {}

    record State(
            String server,
            String group,
            String role,
            long term,
            long termStart,
            long position,
            long confirmedPosition,
            long primaryContactAgeMillis,
            long lagMillis,
            boolean leaving,
            int slots,
            int connectionLimit) {}

    record Result(
            @JsonInclude Optional<String> result,
            long term,
            long position,
            long lagMillis,
            String role) {}

    record Refusal(String error, long term, long position) {}

    record Busy(String error) {}

    record Invalid(String error, String message) {
        static Invalid statement(String message) {
            return new Invalid("bad_statement", message);
        }
    }

    record Granted(boolean granted, long lastTerm, long position) {}

    record Denied(boolean granted, long term, String proposer) {}

    record Promoted(long term, long position) {}

    /** Is a status with the body that belongs to it. */
    record Response(int status, Object body) {
        boolean isOk() {
            return status == 200;
        }
    }
}
