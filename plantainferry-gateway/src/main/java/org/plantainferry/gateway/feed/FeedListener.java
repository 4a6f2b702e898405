package org.plantainferry.gateway.feed;

import java.util.OptionalLong;
import org.plantainferry.gateway.spi.FeedPage;

/**
 * Listens for the objects of one feed and their changes.
 *
 * @since 0.3
 */
public interface FeedListener<T> {
    /**
     * Called with all objects.
     *
     * @param coveredNanos the time up to which the page contains all changes; empty if another
     *     instance passed it on
     * @param outageNanos how long the store did not answer before this read; 0 without an outage
     */
    void onSnapshot(FeedPage<T> page, OptionalLong coveredNanos, long outageNanos);

    /**
     * Called with changes; the page is empty if a watch ended without a change.
     *
     * @param coveredNanos the time up to which the page contains all changes; empty if another
     *     instance passed it on
     */
    void onChanges(FeedPage<T> page, OptionalLong coveredNanos);
}
