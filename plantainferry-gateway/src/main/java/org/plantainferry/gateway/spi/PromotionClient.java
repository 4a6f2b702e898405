package org.plantainferry.gateway.spi;

import java.util.concurrent.CompletableFuture;

/**
 * Calls the platform to promote servers to the primary of their group.
 *
 * @since 0.2
 */
public interface PromotionClient {
    /**
     * Promotes a server under a claim; returns at once.
     *
     * <p>The future fails if there is no answer in time. A call that has not reached the platform
     * by then is withdrawn; the platform may still execute one that has.
     *
     * @param timeoutMillis milliseconds to wait for the answer, which include the time to connect
     */
    CompletableFuture<PromotionResult> promote(
            String service, String server, PromotionClaim claim, long timeoutMillis);
}
