package org.plantainferry.gateway.spi;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.plantainferry.engine.promotion.ReplicaMembership;

/**
 * Reads and writes in the platform's store which replicas of a group may hold acknowledged commits.
 *
 * @since 0.6
 */
public interface ReplicaMembershipStore {
    /**
     * Holds a membership with its version in the store.
     *
     * @since 0.6
     */
    record StoredMembership(long version, ReplicaMembership membership) {}

    /** Reads the membership of the group of a service; empty if there is none. */
    CompletableFuture<StoreAnswer<Optional<StoredMembership>>> read(String service);

    /**
     * Writes a membership if the store still holds the expected version.
     *
     * @param expectedVersion the version to replace; empty to create the membership
     * @return whether the membership was written; false if the stored version differs
     */
    CompletableFuture<StoreAnswer<Boolean>> write(
            String service, Optional<Long> expectedVersion, ReplicaMembership membership);
}
