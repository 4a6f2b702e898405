package org.plantainferry.gateway.spi;

import java.util.List;
import java.util.Optional;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.gateway.statement.CallerMessage;
import org.plantainferry.gateway.statement.FailureCode;
import org.plantainferry.gateway.statement.ServerMessage;
import org.plantainferry.gateway.statement.ServerStatus;
import org.plantainferry.gateway.statement.SessionMode;
import org.plantainferry.gateway.statement.Statement;

/**
 * Converts between typed messages and the lines of the protocols of callers and servers.
 *
 * <p>Lines exclude the line terminator. Implementations are stateless.
 *
 * @since 0.2
 */
public interface WireFormat {
    /** Parses a line of a caller. */
    CallerMessage readCallerLine(String line);

    /** Parses a line of a server. */
    ServerMessage readServerLine(String line);

    /** Formats the request that opens a session at a server. */
    String openSession(String service, String workspace, String expectedServer);

    /**
     * Formats a statement for a server.
     *
     * @param requestId the id of the caller's request; empty for a statement of this system
     * @param required the log position that a read must observe; empty if there is none
     */
    String statement(
            Optional<String> requestId, Optional<LogPosition> required, Statement statement);

    /** Formats a row for a caller. */
    String row(String data);

    /**
     * Formats the end of a successful result for a caller.
     *
     * @param signature the signature of the server; empty if it sent none
     */
    String done(Optional<String> signature);

    /** Formats a failure for a caller. */
    String failed(FailureCode code, String text);

    /** Formats the line that ends an answer to a caller. */
    String ready(SessionMode mode);

    /** Parses the status that a server reports about itself; empty if it is malformed. */
    Optional<ServerStatus> readStatus(List<String> rows);
}
