package org.plantainferry.gateway.spi;

import java.util.concurrent.CompletableFuture;

/**
 * Registers and lists instances in the platform's store.
 *
 * @since 0.2
 */
public interface InstanceRegistry extends Feed<InstanceEntry> {
    /** Writes the entry of this instance; does nothing if an equal entry exists. */
    CompletableFuture<Void> register(InstanceEntry entry);
}
