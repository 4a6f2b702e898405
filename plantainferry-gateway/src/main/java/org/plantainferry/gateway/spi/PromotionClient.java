package org.plantainferry.gateway.spi;

import java.util.concurrent.CompletableFuture;

/**
 * Orders the platform to make a server the primary of its group.
 *
 * @since 0.2
 */
public interface PromotionClient {
    /**
     * Promotes a server under a claim; returns at once.
     *
     * <p>The future fails when no answer came; the order may then still be carried out later.
     */
    CompletableFuture<PromotionResult> promote(String service, String server, PromotionClaim claim);
}
