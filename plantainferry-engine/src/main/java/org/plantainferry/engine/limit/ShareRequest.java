package org.plantainferry.engine.limit;

import java.util.List;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.WorkspaceName;

/**
 * Deposits share slots with an allocator and requests grants.
 *
 * @param instance the sender
 * @param configurationVersion the version in force at the sender
 * @param sequence increases with each request of the sender; a request that arrives late is ignored
 * @param nonce the nonce of the latest answer of this allocator that was applied; 0 for none
 * @param renewsUnlisted whether the unexpired deposits of the sender are renewed for the workspaces
 *     without an entry
 * @param shares one entry for each workspace whose state has changed or that needs a grant
 * @since 0.1
 */
public record ShareRequest(
        InstanceId instance,
        long configurationVersion,
        long sequence,
        long nonce,
        boolean renewsUnlisted,
        List<Share> shares) {
    /** Copies the list. */
    public ShareRequest {
        shares = List.copyOf(shares);
    }

    /**
     * Describes what the sender deposits and needs for one workspace.
     *
     * @param workspace the workspace
     * @param depositedSlots the number of slots newly deposited or renewed
     * @param depositedTokens the tokens that the sender returns with this request
     * @param demandPerSecond requests offered to the sender per second
     * @param grantTokens the tokens left of the current grant
     * @param waiting the number of requests that wait for a token
     * @since 0.1
     */
    public record Share(
            WorkspaceName workspace,
            int depositedSlots,
            double depositedTokens,
            double demandPerSecond,
            double grantTokens,
            int waiting) {}
}
