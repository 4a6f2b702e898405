package org.plantainferry.daemon.traffic;

import java.util.concurrent.CompletableFuture;

/**
 * Carries an authenticated request to its final answer.
 *
 * @since 0.1
 */
public interface RequestHandler {
    /** Handles a request; the future never fails. May be called from any thread. */
    CompletableFuture<CallerAnswer> handle(CallerRequest request);
}
