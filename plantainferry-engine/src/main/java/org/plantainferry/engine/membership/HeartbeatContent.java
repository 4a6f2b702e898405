package org.plantainferry.engine.membership;

import java.util.List;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.Preconditions;

/**
 * Holds the content of a heartbeat or of the answer to one.
 *
 * @param instance the sender
 * @param incarnation the sender's incarnation; greater after a restart
 * @param failureDomain where the sender runs
 * @param leaving whether the sender is about to stop
 * @param status what the sender states about its configuration and groups
 * @param members up to 8 updates on other instances
 * @param answerWanted whether the receiver is to answer with a heartbeat of its own
 * @since 0.1
 */
public record HeartbeatContent(
        InstanceId instance,
        long incarnation,
        FailureDomain failureDomain,
        boolean leaving,
        LocalStatus status,
        List<MemberUpdate> members,
        boolean answerWanted) {
    /** Checks that nothing is missing. */
    public HeartbeatContent {
        Preconditions.notNull(instance, "instance");
        Preconditions.notNull(failureDomain, "failureDomain");
        Preconditions.notNull(status, "status");
        members = List.copyOf(members);
    }
}
