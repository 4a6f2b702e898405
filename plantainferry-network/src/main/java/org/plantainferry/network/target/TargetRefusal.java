package org.plantainferry.network.target;

import java.util.Optional;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.Verdict;

/**
 * Holds the refusal of a request by a target server.
 *
 * @param reason why the server refused
 * @param term the term of the server, if it reported it
 * @param position the log position of the server, if it reported it
 * @param message the explanation from the server; empty when there is none
 * @since 0.1
 */
public record TargetRefusal(
        RefusalReason reason, Optional<Long> term, Optional<Long> position, String message)
        implements StatementAnswer {
    /** Checks that nothing is missing. */
    public TargetRefusal {
        Preconditions.notNull(reason, "reason");
        Preconditions.notNull(term, "term");
        Preconditions.notNull(position, "position");
        Preconditions.notNull(message, "message");
    }

    /** Returns whether the request may have run despite the refusal. */
    public Verdict verdict() {
        return reason.verdict();
    }
}
