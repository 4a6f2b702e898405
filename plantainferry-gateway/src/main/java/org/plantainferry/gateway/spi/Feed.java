package org.plantainferry.gateway.spi;

import java.util.concurrent.CompletableFuture;

/**
 * Reads and watches the objects of one kind in the platform's store.
 *
 * <p>All methods return at once; a future fails with a {@link
 * org.plantainferry.api.PlantainferryException} if the store does not answer.
 *
 * @since 0.2
 */
public interface Feed<T> {
    /** Reads all objects. */
    CompletableFuture<FeedPage<T>> readAll();

    /**
     * Waits for changes after a revision; the page is empty if the wait ends without a change.
     *
     * <p>The future fails with the code {@code VERSION_CONFLICT} if the store no longer has the
     * history after the revision.
     *
     * @param waitMillis the longest wait, in milliseconds
     */
    CompletableFuture<FeedPage<T>> changesAfter(long revision, long waitMillis);
}
