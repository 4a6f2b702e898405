package org.plantainferry.engine.membership;

import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.Preconditions;

/**
 * Describes an instance as listed by the platform.
 *
 * @param id the instance
 * @param failureDomain the failure domain in which the instance runs
 * @param peerAddress the IP:PORT that other instances connect to
 * @param callerAddress the IP:PORT that callers connect to
 * @param operatorAddress the IP:PORT that operators connect to
 * @param leaving whether the instance is shutting down
 * @since 0.1
 */
public record Member(
        InstanceId id,
        FailureDomain failureDomain,
        String peerAddress,
        String callerAddress,
        String operatorAddress,
        boolean leaving) {
    /** Validates the components. */
    public Member {
        Preconditions.notNull(id, "id");
        Preconditions.notNull(failureDomain, "failureDomain");
        Preconditions.notNull(peerAddress, "peerAddress");
        Preconditions.notNull(callerAddress, "callerAddress");
        Preconditions.notNull(operatorAddress, "operatorAddress");
    }

    /**
     * Returns this member with the given leaving mark; the same object when the mark is unchanged.
     */
    public Member withLeaving(boolean newLeaving) {
        return newLeaving == leaving
                ? this
                : new Member(
                        id, failureDomain, peerAddress, callerAddress, operatorAddress, newLeaving);
    }
}
