package org.plantainferry.network.target;

import java.util.Optional;
import org.plantainferry.api.Preconditions;

/**
 * Holds the answer to a fencing request.
 *
 * @param granted whether the server has promised the term to the proposer
 * @param lastTerm the term of its last log entry; present when granted
 * @param position the position of its last log entry; present when granted
 * @param term the term that the server is in or has already promised, if it refused and reported it
 * @param proposer the proposer to which it promised that term, if it refused and reported it
 * @since 0.1
 */
public record FenceResult(
        boolean granted,
        Optional<Long> lastTerm,
        Optional<Long> position,
        Optional<Long> term,
        Optional<String> proposer) {
    /** Checks that a grant names the last log entry; missing values are empty. */
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
