package org.plantainferry.engine.membership;

import java.util.Optional;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.ServiceName;

/**
 * Describes the highest known term of a service.
 *
 * @param service the service
 * @param term the highest known term
 * @param primary the primary of that term; empty when none is known
 * @since 0.1
 */
public record GroupTerm(ServiceName service, long term, Optional<ServerId> primary) {
    /** Validates the components. */
    public GroupTerm {
        Preconditions.notNull(service, "service");
        Preconditions.notNull(primary, "primary");
        Preconditions.condition(term >= 0, "term must not be negative");
    }
}
