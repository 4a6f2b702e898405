package org.plantainferry.daemon.traffic;

import org.plantainferry.api.ServiceName;

/**
 * Counts statements that ran; implementations must be fast and safe for several threads.
 *
 * @since 0.1
 */
public interface StatementCounter {
    /**
     * Counts a statement.
     *
     * @param role {@code primary} or {@code replica}
     */
    void count(ServiceName service, String role);
}
