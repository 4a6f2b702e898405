package org.plantainferry.engine.limit;

import java.util.List;
import java.util.Optional;
import org.plantainferry.api.InstanceId;

/**
 * Contains the messages that an allocator sends after a share request.
 *
 * @param answer the answer to the sender; empty for a request that is late or a duplicate
 * @param recalled borrowers to which a recall is sent, so that they send their next request at once
 * @since 0.1
 */
public record AllocatorReply(Optional<ShareAnswer> answer, List<InstanceId> recalled) {
    /** Copies the list. */
    public AllocatorReply {
        recalled = List.copyOf(recalled);
    }
}
