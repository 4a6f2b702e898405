package org.plantainferry.gateway.statement;

import java.util.Optional;
import org.plantainferry.api.session.LogPosition;

/**
 * Describes one message of a server.
 *
 * @since 0.2
 */
public sealed interface ServerMessage {
    /** One row of a result. */
    record Row(String data) implements ServerMessage {}

    /**
     * The end of a successful result.
     *
     * @param signature the signature of the server; empty for a statement that it does not sign
     */
    record Done(String signature) implements ServerMessage {}

    /** A refusal or a failure. */
    record Failed(FailureCode code, String text) implements ServerMessage {}

    /** The end of an answer. */
    record Ready(SessionMode mode, Optional<LogPosition> position) implements ServerMessage {}

    /** Represents a line that cannot be parsed. */
    record Unreadable() implements ServerMessage {}
}
