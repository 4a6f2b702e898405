package org.plantainferry.daemon.traffic;

import java.util.Optional;
import org.plantainferry.api.WorkspaceName;
import org.plantainferry.engine.limit.WorkspaceTokenBucket;

/**
 * Provides the token bucket of each workspace and requests grants from control.
 *
 * <p>Implementations must be thread-safe.
 *
 * @since 0.1
 */
public interface TokenBucketProvider {
    /**
     * Returns the bucket of a workspace; empty when the workspace has none on this instance yet.
     */
    Optional<WorkspaceTokenBucket> bucket(WorkspaceName workspace);

    /** Lets control send the share requests that are due, because a request waits for a token. */
    void requestGrant();
}
