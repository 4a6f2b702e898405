package org.plantainferry.gateway.traffic;

import java.util.List;
import java.util.Optional;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.engine.capacity.ServerRoom;
import org.plantainferry.engine.retry.FailureCause;
import org.plantainferry.gateway.statement.FailureCode;
import org.plantainferry.gateway.statement.SessionMode;

/**
 * Holds the complete answer of a server to one statement, or states that none arrived.
 *
 * @param kind how the statement ended
 * @param rows the rows of a result
 * @param signature the signature of the server; empty unless the statement succeeded
 * @param code the refusal or failure; {@link FailureCode#OTHER} unless the statement failed
 * @param text the explanation of the server or of the connection
 * @param mode the transaction state of the server session
 * @param position the log position of the server, if it sent one
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
    /** Lists the ways in which a statement ends. */
    enum Kind {
        /** With a result. */
        DONE,
        /** With a refusal or a failure. */
        FAILED,
        /** Without being sent. */
        NOT_SENT,
        /** Without a complete answer. */
        LOST,
        /**
         * With an answer that cannot belong to the statement, so that its own answer is unknown.
         */
        MISMATCHED
    }

    static ServerReply lost(String reason) {
        return withoutAnswer(Kind.LOST, reason);
    }

    static ServerReply mismatched(String reason) {
        return withoutAnswer(Kind.MISMATCHED, reason);
    }

    private static ServerReply withoutAnswer(Kind kind, String reason) {
        return new ServerReply(
                kind,
                List.of(),
                "",
                FailureCode.OTHER,
                reason,
                SessionMode.FAILED_TRANSACTION,
                Optional.empty());
    }

    /** Returns a refusal for a statement that was not sent. */
    static ServerReply notSent(String reason) {
        return new ServerReply(
                Kind.NOT_SENT,
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

    boolean isFailed() {
        return kind == Kind.FAILED || kind == Kind.NOT_SENT;
    }

    /** Returns whether the own answer of the statement is unknown. */
    boolean isLost() {
        return kind == Kind.LOST || kind == Kind.MISMATCHED;
    }

    /** Returns whether the server has certainly not run the statement. */
    boolean isNotRun() {
        return isFailed() && code.isNotRun();
    }

    /** Returns whether the server refused because its queue is full. */
    boolean isOverload() {
        return kind == Kind.FAILED && code == FailureCode.BUSY;
    }

    /** Returns what the end of the statement tells about the room of the server. */
    ServerRoom.Outcome outcome() {
        if (isDone()) {
            return ServerRoom.Outcome.ANSWERED;
        }
        return isOverload() ? ServerRoom.Outcome.BUSY : ServerRoom.Outcome.FAILED;
    }

    /** Returns why the statement has no result; the statement must not have succeeded. */
    FailureCause failureCause() {
        if (kind == Kind.NOT_SENT) {
            return FailureCause.CONNECT_FAILED;
        }
        if (!isNotRun()) {
            return FailureCause.CONNECTION_LOST;
        }
        return switch (code) {
            case BUSY -> FailureCause.BUSY;
            case BEHIND -> FailureCause.BEHIND;
            default -> FailureCause.WRONG_SERVER;
        };
    }
}
