package org.plantainferry.engine.membership;

import java.util.List;
import java.util.Optional;
import org.plantainferry.api.InstanceId;

/**
 * Holds the live instances as seen by one instance; immutable.
 *
 * @param version the version, which increases with every change
 * @param members the live instances including this one, ordered by identifier; leaving instances
 *     are marked as such
 * @since 0.1
 */
public record MembershipSnapshot(long version, List<Member> members) {
    /** Copies the list. */
    public MembershipSnapshot {
        members = List.copyOf(members);
    }

    /** Returns the live instance with the given identifier, if any. */
    public Optional<Member> member(InstanceId id) {
        return members.stream().filter(member -> member.id().equals(id)).findFirst();
    }

    /** Returns the live instances that are not leaving. */
    public List<Member> nonLeavingMembers() {
        return members.stream().filter(member -> !member.leaving()).toList();
    }
}
