package org.plantainferry.engine.membership;

import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.Preconditions;

/**
 * Describes an instance as the platform's list has it.
 *
 * @param id the instance
 * @param failureDomain where it runs
 * @param peerAddress IP:PORT for other instances
 * @param callerAddress IP:PORT for callers
 * @param operatorAddress IP:PORT for operators
 * @param leaving whether it is about to stop
 * @since 0.1
 */
public record Member(
        InstanceId id,
        FailureDomain failureDomain,
        String peerAddress,
        String callerAddress,
        String operatorAddress,
        boolean leaving) {
    /** Checks that nothing is missing. */
    public Member {
        Preconditions.notNull(id, "id");
        Preconditions.notNull(failureDomain, "failureDomain");
        Preconditions.notNull(peerAddress, "peerAddress");
        Preconditions.notNull(callerAddress, "callerAddress");
        Preconditions.notNull(operatorAddress, "operatorAddress");
    }

    /** Returns a copy that is leaving, or not. */
    public Member withLeaving(boolean otherLeaving) {
        return new Member(
                id, failureDomain, peerAddress, callerAddress, operatorAddress, otherLeaving);
    }
}
