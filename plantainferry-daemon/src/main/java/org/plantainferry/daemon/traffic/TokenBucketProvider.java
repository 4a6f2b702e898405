package org.plantainferry.daemon.traffic;

import java.util.Optional;
import org.plantainferry.api.WorkspaceName;
import org.plantainferry.engine.limit.WorkspaceTokenBucket;

/**
 * Finds the token bucket of a workspace and wakes control when a caller waits for a grant.
 *
 * <p>Safe for use by several threads.
 *
 * @since 0.1
 */
public interface TokenBucketProvider {
    /** Returns the bucket of a configured workspace. */
    Optional<WorkspaceTokenBucket> bucket(WorkspaceName workspace);

    /** Asks control to send the share requests that are due now. */
    void requestGrant();
}
