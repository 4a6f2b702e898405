package org.plantainferry.daemon.traffic;

import java.util.concurrent.CompletableFuture;
import org.plantainferry.engine.membership.Member;

/**
 * Forwards requests to other instances.
 *
 * @since 0.1
 */
public interface RequestForwarder {
    /** Forwards a request to an instance; the future never completes exceptionally. */
    CompletableFuture<CallerAnswer> forward(Member instance, CallerRequest request);
}
