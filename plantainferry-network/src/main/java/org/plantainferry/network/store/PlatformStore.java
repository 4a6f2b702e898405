package org.plantainferry.network.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Reads, changes and watches objects in the platform's store.
 *
 * <p>All methods return at once. A future fails with a {@link
 * org.plantainferry.api.PlantainferryException} whose code is {@code STORE_UNAVAILABLE} when the
 * store does not answer in time; its verdict says whether a change may have taken effect.
 *
 * @since 0.1
 */
public interface PlatformStore extends AutoCloseable {
    /** Reads one object; empty when there is none. */
    CompletableFuture<Optional<StoreObject>> get(String path);

    /**
     * Writes one object if the condition holds.
     *
     * @return the new version, or empty when the condition did not hold and nothing changed
     */
    CompletableFuture<Optional<Long>> put(String path, String value, WriteCondition condition);

    /**
     * Removes one object if it still has a version; false when it has another version or is gone.
     */
    CompletableFuture<Boolean> delete(String path, long version);

    /** Reads all objects whose path begins with the prefix. */
    CompletableFuture<StoreListing> list(String prefix);

    /**
     * Waits for a change after a revision; the listing is empty when the time passes without one.
     *
     * @param waitMillis the longest wait, in milliseconds
     */
    CompletableFuture<StoreListing> watch(String prefix, long afterRevision, long waitMillis);

    /** Reads the platform's list of instances, which lags. */
    CompletableFuture<List<InstanceRecord>> instances();

    /** Ends all connections; calls in progress fail. */
    @Override
    void close();
}
