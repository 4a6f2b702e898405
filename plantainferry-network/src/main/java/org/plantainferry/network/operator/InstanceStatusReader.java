package org.plantainferry.network.operator;

import java.util.concurrent.CompletableFuture;

/**
 * Reads the status of instances.
 *
 * @since 0.1
 */
public interface InstanceStatusReader {
    /**
     * Reads the status of one instance without blocking.
     *
     * @param address IP:PORT of the operator endpoint of the instance
     * @return a future that fails with a {@code PEER_UNAVAILABLE} {@link
     *     org.plantainferry.api.PlantainferryException} when no status can be read before the
     *     timeout
     */
    CompletableFuture<InstanceStatus> read(String address);
}
