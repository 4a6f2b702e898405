package org.plantainferry.daemon.traffic;

import java.util.Optional;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.ServiceName;

/**
 * Receives the observations of traffic that control needs; implementations must not block.
 *
 * @since 0.1
 */
public interface TrafficListener {
    /** Handles a statement that failed at a server without an answer. */
    void onStatementFailed(ServiceName service, ServerId server);

    /** Handles a term that traffic observed, and its primary if known. */
    void onTermObserved(ServiceName service, long term, Optional<ServerId> primary);
}
