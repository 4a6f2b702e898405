package org.plantainferry.engine.promotion;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Chooses the replica that becomes the primary.
 *
 * @since 0.2
 */
public final class CandidateSelector {
    private CandidateSelector() {}

    /**
     * Chooses the replica that has received most.
     *
     * <p>Where commits wait for replicas, an acknowledged commit may be on any of them, so enough
     * replicas must have answered that one of those has it.
     *
     * @param states the states of the replicas that answered
     * @param replicas how many replicas the group has
     * @param synchronousReplicas how many replicas confirm a commit before it is acknowledged
     * @return the replica; empty while a promotion could lose an acknowledged commit
     */
    public static Optional<ReplicaState> select(
            Collection<ReplicaState> states, int replicas, int synchronousReplicas) {
        int needed = synchronousReplicas == 0 ? 1 : replicas - synchronousReplicas + 1;
        if (states.size() < needed) {
            return Optional.empty();
        }
        return states.stream()
                .filter(state -> !state.server().draining())
                .max(
                        Comparator.comparing(ReplicaState::received)
                                .thenComparing(state -> state.server().id()));
    }
}
