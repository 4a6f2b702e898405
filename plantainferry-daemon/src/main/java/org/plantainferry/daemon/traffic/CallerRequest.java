package org.plantainferry.daemon.traffic;

import java.util.Optional;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.StatementKind;
import org.plantainferry.api.WorkspaceName;
import org.plantainferry.api.session.SessionToken;

/**
 * Holds a caller's request after its key was checked; the key itself is not part of it.
 *
 * @param workspace the workspace on whose behalf it runs
 * @param keyId the name of the key that came with it; empty on open routes
 * @param service the service that it uses
 * @param operation what it asks for
 * @param transaction the identifier of its transaction; empty outside transactions
 * @param statement the statement; empty for begin, commit and rollback
 * @param kind whether the statement may write
 * @param session the token of its session; empty for none
 * @param idempotencyKey the caller's idempotency key; empty for none
 * @param deadlineNanos the monotonic time at which the caller stops waiting
 * @param maximumAgeMillis the age of data that a read accepts; empty for no bound
 * @since 0.1
 */
public record CallerRequest(
        WorkspaceName workspace,
        Optional<String> keyId,
        ServiceName service,
        Operation operation,
        Optional<String> transaction,
        String statement,
        StatementKind kind,
        Optional<SessionToken> session,
        Optional<String> idempotencyKey,
        long deadlineNanos,
        Optional<Long> maximumAgeMillis) {

    /** Returns whether the request can be sent again even though it may have run. */
    public boolean isIdempotent() {
        return kind == StatementKind.READ || idempotencyKey.isPresent();
    }
}
