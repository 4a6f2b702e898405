package org.plantainferry.network.operator;

import java.util.concurrent.CompletableFuture;

/**
 * Reads the status of instances.
 *
 * @since 0.1
 */
public interface InstanceStatusReader {
    /**
     * Reads the status of one instance; returns at once.
     *
     * @param address IP:PORT of the operators' endpoint of the instance
     * @return a future that fails with a {@code PEER_UNAVAILABLE} {@link
     *     org.plantainferry.api.PlantainferryException} when the instance sends no status in time
     */
    CompletableFuture<InstanceStatus> read(String address);
}
