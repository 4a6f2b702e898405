package org.plantainferry.engine.promotion;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.plantainferry.api.session.LogPosition;

/**
 * Selects the replica to promote to primary.
 *
 * @since 0.2
 */
public final class CandidateSelector {
    private CandidateSelector() {}

    /**
     * Selects the replica with the highest received position among those that are not draining.
     *
     * <p>With synchronous replication, an acknowledged commit may be on any of the replicas.
     * Therefore so many replicas must have answered that at least one of them has the commit.
     *
     * @param states the states of the replicas that answered
     * @param replicas the number of replicas in the group, including those that cannot be promoted
     * @param synchronousReplicas the number of replicas that confirm a commit before it is
     *     acknowledged
     * @param finalPosition the last position of a primary that has stepped down; a replica that has
     *     received it has all commits; empty if unknown
     * @return the replica; empty while a promotion could lose an acknowledged commit, and when all
     *     replicas are draining
     */
    public static Optional<ReplicaState> select(
            Collection<ReplicaState> states,
            int replicas,
            int synchronousReplicas,
            Optional<LogPosition> finalPosition) {
        int needed = synchronousReplicas == 0 ? 1 : replicas - synchronousReplicas + 1;
        Optional<ReplicaState> best =
                states.stream()
                        .filter(state -> !state.server().draining())
                        .max(
                                Comparator.comparing(ReplicaState::received)
                                        .thenComparing(state -> state.server().id()));
        boolean isComplete = best.isPresent() && hasReceived(best.get(), finalPosition);
        return states.size() >= needed || isComplete ? best : Optional.empty();
    }

    private static boolean hasReceived(ReplicaState state, Optional<LogPosition> position) {
        return position.isPresent() && state.received().compareTo(position.get()) >= 0;
    }
}
