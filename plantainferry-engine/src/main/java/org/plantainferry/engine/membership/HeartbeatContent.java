package org.plantainferry.engine.membership;

import java.util.List;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.Preconditions;

/**
 * Holds the content of a heartbeat or of an answer to a heartbeat.
 *
 * @param instance the sender
 * @param incarnation the sender's incarnation, which increases with each restart
 * @param failureDomain the failure domain of the sender
 * @param leaving whether the sender is shutting down
 * @param status what the sender reports about its configuration and groups
 * @param members up to 8 updates about other instances
 * @param answerWanted whether the receiver must answer with its own heartbeat
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
    /** Validates the components and copies the list. */
    public HeartbeatContent {
        Preconditions.notNull(instance, "instance");
        Preconditions.notNull(failureDomain, "failureDomain");
        Preconditions.notNull(status, "status");
        members = List.copyOf(members);
    }
}
