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

    /** Writes the entry of another instance that the store has lost; does nothing if one exists. */
    CompletableFuture<Void> restore(InstanceEntry entry);
}
