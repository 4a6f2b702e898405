package org.plantainferry.network.target;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import java.util.Optional;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.ServerRole;
import org.plantainferry.api.session.LogPosition;

/**
 * Holds the result of a statement that ran.
 *
 * @param result the result as the server sent it; JSON null when there is none
 * @param term the term of the server
 * @param position the log position that the result reflects
 * @param lagMillis the age of the data at a replica, if the server reported it
 * @param role the role of the server when it answered
 * @since 0.1
 */
public record StatementResult(
        JsonNode result, long term, long position, Optional<Long> lagMillis, ServerRole role)
        implements StatementAnswer {
    /** Checks that nothing required is missing. */
    public StatementResult {
        result = result == null ? NullNode.getInstance() : result;
        Preconditions.condition(term >= 0, "term must not be negative: " + term);
        Preconditions.condition(position >= 0, "position must not be negative: " + position);
        lagMillis = lagMillis == null ? Optional.empty() : lagMillis.filter(age -> age >= 0);
        Preconditions.notNull(role, "role");
    }

    /** Returns the log position that the result reflects. */
    public LogPosition logPosition() {
        return new LogPosition(term, position);
    }
}
