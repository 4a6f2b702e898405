package org.plantainferry.network.target;

import java.util.Optional;
import org.plantainferry.api.Preconditions;

/**
 * Holds the answer to a fencing request.
 *
 * @param granted whether the server promises the term to the proposer
 * @param lastTerm the term of its last log entry; present when granted
 * @param position the position of its last log entry; present when granted
 * @param term the term that it is already promised to or in, if it refused and told it
 * @param proposer the proposer that has that term, if it refused and told it
 * @since 0.1
 */
public record FenceResult(
        boolean granted,
        Optional<Long> lastTerm,
        Optional<Long> position,
        Optional<Long> term,
        Optional<String> proposer) {
    /** Checks that a grant names the last log entry. */
    public FenceResult {
        lastTerm = lastTerm == null ? Optional.empty() : lastTerm;
        position = position == null ? Optional.empty() : position;
        term = term == null ? Optional.empty() : term;
        proposer = proposer == null ? Optional.empty() : proposer;
        Preconditions.condition(
                !granted || (lastTerm.isPresent() && position.isPresent()),
                "a granted fencing request must name lastTerm and position");
    }
}
