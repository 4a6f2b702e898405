package org.plantainferry.network.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Reads, writes and watches objects in the platform's store.
 *
 * <p>Methods do not block. A future fails with a {@link
 * org.plantainferry.api.PlantainferryException} whose code is {@code STORE_UNAVAILABLE} when the
 * store does not respond in time; its verdict tells whether a change may have taken effect.
 *
 * @since 0.1
 */
public interface PlatformStore extends AutoCloseable {
    /** Reads one object; the result is empty when there is none. */
    CompletableFuture<Optional<StoreObject>> get(String path);

    /**
     * Writes one object if the condition holds.
     *
     * @return the new version, or empty when the condition did not hold and nothing changed
     */
    CompletableFuture<Optional<Long>> put(String path, String value, WriteCondition condition);

    /**
     * Removes one object if it has the given version; the result is false when it has another
     * version or does not exist.
     */
    CompletableFuture<Boolean> delete(String path, long version);

    /** Reads all objects whose path starts with the prefix. */
    CompletableFuture<StoreListing> list(String prefix);

    /**
     * Waits for changes after a revision under a prefix; the listing is empty when there is none
     * before the wait ends.
     *
     * @param waitMillis the maximum wait, in milliseconds
     */
    CompletableFuture<StoreListing> watch(String prefix, long afterRevision, long waitMillis);

    /** Reads the platform's list of instances, which may be out of date. */
    CompletableFuture<List<InstanceRecord>> instances();

    /** Closes all connections; calls in progress fail. */
    @Override
    void close();
}
