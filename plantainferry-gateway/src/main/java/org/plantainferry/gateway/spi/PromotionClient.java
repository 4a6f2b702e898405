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
     * <p>The future fails if there is no answer; the platform may still execute the promotion
     * later.
     */
    CompletableFuture<PromotionResult> promote(String service, String server, PromotionClaim claim);
}
