package org.plantainferry.engine.limit;

import java.util.List;
import java.util.Optional;
import org.plantainferry.api.InstanceId;

/**
 * Lists what an allocator sends after a share request.
 *
 * @param answer the answer to the sender; absent for a request that arrived late or twice
 * @param recalled borrowers to tell that they must send their next request at once
 * @since 0.1
 */
public record AllocatorReply(Optional<ShareAnswer> answer, List<InstanceId> recalled) {
    /** Copies the list. */
    public AllocatorReply {
        recalled = List.copyOf(recalled);
    }
}
