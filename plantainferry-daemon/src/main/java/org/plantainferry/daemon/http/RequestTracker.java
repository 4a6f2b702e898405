package org.plantainferry.daemon.http;

import org.plantainferry.daemon.traffic.CallerAnswer;
import org.plantainferry.daemon.traffic.CallerRequest;

/**
 * Follows requests from arrival to answer, for metrics and for an orderly drain.
 *
 * @since 0.1
 */
public interface RequestTracker {
    /** Notes that a request arrived. */
    TrackedRequest start(CallerRequest request, long nowNanos);

    /** Follows one request. */
    interface TrackedRequest {
        /** Notes that the answer was handed to the connection. */
        void finish(CallerAnswer answer, long nowNanos);
    }
}
