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
 * Translates between typed messages and the lines that callers and servers speak.
 *
 * <p>Lines come and go without their line ends. Implementations have no state.
 *
 * @since 0.2
 */
public interface WireFormat {
    /** Reads a line of a caller. */
    CallerMessage readCallerLine(String line);

    /** Reads a line of a server. */
    ServerMessage readServerLine(String line);

    /** Writes the opening of a session at a server. */
    String openSession(String service, String workspace, String expectedServer);

    /**
     * Writes a statement for a server.
     *
     * @param requestId the id of the caller's request; empty for a statement of this system
     * @param required the log position that a read must see
     */
    String statement(
            Optional<String> requestId, Optional<LogPosition> required, Statement statement);

    /** Writes a row for a caller. */
    String row(String data);

    /** Writes the end of a successful result for a caller; empty without a server's signature. */
    String done(Optional<String> signature);

    /** Writes a failure for a caller. */
    String failed(FailureCode code, String text);

    /** Writes the end of an answer for a caller. */
    String ready(SessionMode mode);

    /** Reads the state that a server reports about itself; empty when it cannot be read. */
    Optional<ServerStatus> readStatus(List<String> rows);
}
