package org.plantainferry.engine.membership;

import java.util.List;
import java.util.Optional;
import org.plantainferry.api.InstanceId;

/**
 * Holds the live instances as one instance sees them; immutable.
 *
 * @param version grows with every change
 * @param members the live instances with this one, in the order of their identifiers; leaving ones
 *     are marked
 * @since 0.1
 */
public record MembershipSnapshot(long version, List<Member> members) {
    /** Copies the list. */
    public MembershipSnapshot {
        members = List.copyOf(members);
    }

    /** Returns a live instance. */
    public Optional<Member> member(InstanceId id) {
        return members.stream().filter(each -> each.id().equals(id)).findFirst();
    }

    /** Returns the instances that are live and not leaving. */
    public List<Member> nonLeavingMembers() {
        return members.stream().filter(each -> !each.leaving()).toList();
    }
}
