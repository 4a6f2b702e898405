package org.plantainferry.gateway.traffic;

import java.util.List;
import java.util.Optional;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.gateway.statement.FailureCode;
import org.plantainferry.gateway.statement.SessionMode;

/**
 * Holds the whole answer of a server to one statement, or says that none came.
 *
 * @param kind how the statement ended
 * @param rows the rows of a result
 * @param signature the signature of the server, when done
 * @param code the refusal or failure, when failed
 * @param text the explanation of the server or of the connection
 * @param mode where the server's session stands
 * @param position the position of the server's log
 * @since 0.2
 */
record ServerReply(
        Kind kind,
        List<String> rows,
        String signature,
        FailureCode code,
        String text,
        SessionMode mode,
        Optional<LogPosition> position) {
    /** Says how a statement ended. */
    enum Kind {
        /** With a result. */
        DONE,
        /** With a refusal or a failure. */
        FAILED,
        /** Without a whole answer. */
        LOST
    }

    static ServerReply lost(String reason) {
        return new ServerReply(
                Kind.LOST,
                List.of(),
                "",
                FailureCode.OTHER,
                reason,
                SessionMode.FAILED_TRANSACTION,
                Optional.empty());
    }

    /** Stands for the refusal of a server to which a statement was not sent. */
    static ServerReply notSent(String reason) {
        return new ServerReply(
                Kind.FAILED,
                List.of(),
                "",
                FailureCode.BUSY,
                reason,
                SessionMode.FAILED_TRANSACTION,
                Optional.empty());
    }

    boolean isDone() {
        return kind == Kind.DONE;
    }

    boolean isLost() {
        return kind == Kind.LOST;
    }

    /** Returns whether the server has surely not run the statement. */
    boolean isNotRun() {
        return kind == Kind.FAILED && code.isNotRun();
    }
}
