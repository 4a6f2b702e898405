package org.plantainferry.engine.promotion;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.stream.Stream;
import org.plantainferry.api.session.LogPosition;

/**
 * Selects the replica to promote to primary.
 *
 * @since 0.2
 */
public final class CandidateSelector {
    private CandidateSelector() {}

    /** Selects the replica with the highest received position among those that are not draining. */
    public static Optional<ReplicaState> select(Collection<ReplicaState> states) {
        return mostAdvanced(states.stream().filter(state -> !state.server().draining()));
    }

    private static Optional<ReplicaState> mostAdvanced(Stream<ReplicaState> states) {
        return states.max(
                Comparator.comparing(ReplicaState::received)
                        .thenComparing(state -> state.server().id()));
    }

    /**
     * Selects a replica that has all acknowledged commits, where replicas confirm a commit before
     * it is acknowledged.
     *
     * <p>Each acknowledged commit is on as many replicas as confirm it, so one of the states
     * includes it if fewer replicas than that are missing among them. A draining replica is
     * selected only if no other one has everything.
     *
     * @param states the states of the replicas that answered
     * @param unanswered the number of replicas that may hold acknowledged commits and did not
     *     answer
     * @param synchronousReplicas the number of replicas that confirm a commit
     * @param finalPosition the last position of a primary that has stepped down; a replica that has
     *     received it has all commits; empty if unknown
     * @return the replica; empty while a promotion could lose an acknowledged commit
     */
    public static Optional<ReplicaState> selectWithAllCommits(
            Collection<ReplicaState> states,
            int unanswered,
            int synchronousReplicas,
            Optional<LogPosition> finalPosition) {
        Optional<ReplicaState> staying = select(states);
        if (staying.isPresent() && hasReceived(staying.get(), finalPosition)) {
            return staying;
        }
        if (unanswered >= synchronousReplicas) {
            return Optional.empty();
        }
        Optional<ReplicaState> mostAdvanced = mostAdvanced(states.stream());
        boolean isStayingBehind =
                staying.isEmpty()
                        || staying.get().received().compareTo(mostAdvanced.orElseThrow().received())
                                < 0;
        return isStayingBehind ? mostAdvanced : staying;
    }

    private static boolean hasReceived(ReplicaState state, Optional<LogPosition> position) {
        return position.isPresent() && state.received().compareTo(position.get()) >= 0;
    }
}
