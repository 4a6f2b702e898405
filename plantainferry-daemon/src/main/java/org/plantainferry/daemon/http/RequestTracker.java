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
    Started start(CallerRequest request, long nowNanos);

    /** Follows one request. */
    interface Started {
        /** Notes that the answer was handed to the connection. */
        void finish(CallerAnswer answer, long nowNanos);
    }
}
