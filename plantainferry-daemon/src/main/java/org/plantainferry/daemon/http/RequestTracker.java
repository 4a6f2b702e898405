package org.plantainferry.daemon.http;

import org.plantainferry.daemon.traffic.CallerAnswer;
import org.plantainferry.daemon.traffic.CallerRequest;

/**
 * Tracks requests from arrival to answer, for metrics and for a drain that waits for them.
 *
 * @since 0.1
 */
public interface RequestTracker {
    /** Records the arrival of a request. */
    TrackedRequest start(CallerRequest request, long nowNanos);

    /** Tracks one request in progress. */
    interface TrackedRequest {
        /** Records that the answer was passed to the connection; must be called once. */
        void finish(CallerAnswer answer, long nowNanos);
    }
}
