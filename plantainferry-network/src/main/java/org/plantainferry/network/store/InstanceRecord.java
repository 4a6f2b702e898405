package org.plantainferry.network.store;

import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.InstanceId;

/**
 * Describes one entry of the platform's list of instances.
 *
 * @param id the instance
 * @param failureDomain the failure domain in which it runs
 * @param peerAddress IP:PORT on which other instances connect
 * @param callerAddress IP:PORT on which callers connect
 * @param operatorAddress IP:PORT of its operator endpoint
 * @param state {@code live} or {@code leaving}
 * @since 0.1
 */
public record InstanceRecord(
        InstanceId id,
        FailureDomain failureDomain,
        String peerAddress,
        String callerAddress,
        String operatorAddress,
        String state) {
    /** Returns whether no property is missing. */
    boolean isComplete() {
        return id != null
                && failureDomain != null
                && peerAddress != null
                && callerAddress != null
                && operatorAddress != null
                && state != null;
    }
}
