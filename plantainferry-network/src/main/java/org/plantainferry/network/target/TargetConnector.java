package org.plantainferry.network.target;

import java.util.concurrent.CompletableFuture;

/**
 * Opens connections to target servers.
 *
 * @since 0.1
 */
public interface TargetConnector {
    /**
     * Opens a connection without blocking.
     *
     * @param address IP:PORT of the server
     * @return a future that fails with a {@code TARGET_UNAVAILABLE} {@link
     *     org.plantainferry.api.PlantainferryException} and the verdict {@code NOT_RUN} when no
     *     connection can be established before the timeout
     */
    CompletableFuture<TargetConnection> connect(String address);
}
