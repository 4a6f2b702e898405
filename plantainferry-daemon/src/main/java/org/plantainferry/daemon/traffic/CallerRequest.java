package org.plantainferry.daemon.traffic;

import java.util.Optional;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.StatementKind;
import org.plantainferry.api.WorkspaceName;
import org.plantainferry.api.session.SessionToken;

/**
 * Holds an authenticated request of a caller, without the secret key.
 *
 * @param workspace the workspace for which it runs
 * @param keyId the identifier of the key that authenticated it; empty on open routes
 * @param service the service that it addresses
 * @param operation the requested operation
 * @param transaction the identifier of its transaction; empty outside transactions
 * @param statement the statement; empty for begin, commit and rollback
 * @param kind whether the statement may write
 * @param session the decoded session token; empty for none
 * @param idempotencyKey the caller's idempotency key; empty for none
 * @param deadlineNanos the monotonic time in nanoseconds at which the caller stops waiting
 * @param maximumAgeMillis the maximum age in milliseconds of the data that a read returns; empty
 *     for no bound
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

    /** Returns whether the request can be retried even though it may have run. */
    public boolean isIdempotent() {
        return kind == StatementKind.READ || idempotencyKey.isPresent();
    }
}
