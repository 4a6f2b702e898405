package org.plantainferry.daemon.traffic;

import org.plantainferry.api.ServiceName;

/**
 * Counts the statements that ran.
 *
 * <p>Implementations must be thread-safe and must not block.
 *
 * @since 0.1
 */
public interface StatementCounter {
    /**
     * Counts a statement that ran at a server of a service.
     *
     * @param role the role of the server, {@code primary} or {@code replica}
     */
    void count(ServiceName service, String role);
}
