package org.plantainferry.daemon.traffic;

import java.util.concurrent.CompletableFuture;

/**
 * Handles authenticated requests up to their final answer.
 *
 * @since 0.1
 */
public interface RequestHandler {
    /**
     * Handles a request; can be called from any thread.
     *
     * @return a future with the answer, which never completes exceptionally
     */
    CompletableFuture<CallerAnswer> handle(CallerRequest request);
}
