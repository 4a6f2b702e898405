package org.plantainferry.engine.limit;

import java.util.List;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.WorkspaceName;

/**
 * Deposits share slots with an allocator and asks it for grants.
 *
 * @param instance the sender
 * @param configurationVersion the version in force at the sender
 * @param sequence grows with each request of the sender; a request that arrives late is ignored
 * @param nonce the nonce of the latest answer of this allocator that was applied; 0 for none
 * @param renewsUnlisted whether all deposits of the sender that still run are prolonged for the
 *     workspaces without an entry
 * @param shares one entry for each workspace of which there is something new to say
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
     * @param depositedSlots slots deposited or deposited again
     * @param depositedTokens tokens that leave the sender with this request
     * @param demandPerSecond requests offered to the sender
     * @param level tokens left of the grant in use
     * @param waiting requests that wait for a token
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
