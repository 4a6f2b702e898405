package org.plantainferry.gateway.spi;

import java.util.concurrent.CompletableFuture;

/**
 * Keeps the list of instances in the platform's store.
 *
 * @since 0.2
 */
public interface InstanceRegistry extends Feed<InstanceEntry> {
    /** Writes the entry of this instance; an equal entry is left as it is. */
    CompletableFuture<Void> register(InstanceEntry entry);
}
