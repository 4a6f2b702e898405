package org.plantainferry.verification.standin.group;

import java.util.Optional;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.StatementKind;

/** Defines the bodies of the requests to a database server (section 13.2 of the design page). */
final class GroupRequests {
    private GroupRequests() {}

    record Statement(
            StatementKind kind,
            String statement,
            Optional<Long> term,
            Optional<Long> minimumPosition,
            Optional<String> requestId) {
        Statement {
            Preconditions.notNull(kind, "kind");
            Preconditions.notNull(statement, "statement");
        }
    }

    record Begin(Optional<Long> term) {}

    record Commit(Optional<Long> term, Optional<String> requestId) {}

    record Proposal(long term, String proposer) {
        Proposal {
            Preconditions.notNull(proposer, "proposer");
        }
    }
}
