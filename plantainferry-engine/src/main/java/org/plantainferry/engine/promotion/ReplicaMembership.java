package org.plantainferry.engine.promotion;

import java.util.Set;

/**
 * Holds which replicas of a group may have acknowledged commits, as the instances record it in the
 * store.
 *
 * @param synchronousReplicas each acknowledged commit is on at least as many of the replicas
 * @param replicas the replicas, also those that are not registered any more
 * @since 0.6
 */
public record ReplicaMembership(int synchronousReplicas, Set<ServerLife> replicas) {
    /** Creates a membership with a copy of the set. */
    public ReplicaMembership {
        replicas = Set.copyOf(replicas);
    }
}
