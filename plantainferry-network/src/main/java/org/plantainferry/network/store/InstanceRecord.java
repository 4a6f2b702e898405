package org.plantainferry.network.store;

import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.InstanceId;

/**
 * Describes one entry of the platform's list of instances.
 *
 * @param id the instance
 * @param failureDomain where it runs
 * @param peerAddress IP:PORT for other instances
 * @param callerAddress IP:PORT for callers
 * @param operatorAddress IP:PORT for operators
 * @param state {@code live} or {@code leaving}
 * @since 0.1
 */
public record InstanceRecord(
        InstanceId id,
        FailureDomain failureDomain,
        String peerAddress,
        String callerAddress,
        String operatorAddress,
        String state) {}
