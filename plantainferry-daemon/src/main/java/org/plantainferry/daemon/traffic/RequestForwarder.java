package org.plantainferry.daemon.traffic;

import java.util.concurrent.CompletableFuture;
import org.plantainferry.engine.membership.Member;

/**
 * Runs a request at another instance.
 *
 * @since 0.1
 */
public interface RequestForwarder {
    /** Forwards a request; the future never fails. */
    CompletableFuture<CallerAnswer> forward(Member instance, CallerRequest request);
}
