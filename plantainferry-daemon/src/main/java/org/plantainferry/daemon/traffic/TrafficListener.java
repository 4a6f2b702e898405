package org.plantainferry.daemon.traffic;

import java.util.Optional;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.ServiceName;

/**
 * Receives what traffic learns and control needs to know; implementations must not block.
 *
 * @since 0.1
 */
public interface TrafficListener {
    /** A statement failed at a server without an answer. */
    void onStatementFailed(ServiceName service, ServerId server);

    /** An answer named a term, and its primary if the server is one. */
    void onTermObserved(ServiceName service, long term, Optional<ServerId> primary);
}
