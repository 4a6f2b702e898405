package org.plantainferry.verification.history;

import java.util.Optional;
import org.plantainferry.api.session.LogPosition;

/**
 * Describes one request as its client sent it.
 *
 * @param client the client; it has one call at a time
 * @param session the session of the client at the service
 * @param workspace the workspace of the key
 * @param keyId the name of the key; empty on open routes
 * @param instance the instance called
 * @param service the service
 * @param operation what it does
 * @param transaction the transaction; empty outside transactions
 * @param statement the statement; empty for begin, commit and rollback
 * @param idempotencyKey the idempotency key
 * @param sessionIn the position in the session token that was sent
 * @param deadlineMillis the deadline that was sent
 * @since 0.1
 */
public record Call(
        String client,
        String session,
        String workspace,
        String keyId,
        String instance,
        String service,
        Operation operation,
        Optional<String> transaction,
        String statement,
        Optional<String> idempotencyKey,
        Optional<LogPosition> sessionIn,
        long deadlineMillis) {
    private static final int VALUE_INDEX = 2;
    private static final int MAX_WORDS = 3;

    /** Returns the key in the database that the statement names; empty for none. */
    public String databaseKey() {
        return word(1);
    }

    /** Returns the value that the statement writes; empty for none. */
    public String writtenValue() {
        return word(VALUE_INDEX);
    }

    private String word(int index) {
        return wordOf(statement, index);
    }

    static String wordOf(String statement, int index) {
        String[] words = statement.split(" ", MAX_WORDS);
        return words.length > index ? words[index] : "";
    }

    static String writtenValueOf(String statement) {
        return wordOf(statement, VALUE_INDEX);
    }
}
