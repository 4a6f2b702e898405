package org.plantainferry.gateway.spi;

/**
 * Represents a claim with its version in the store.
 *
 * @since 0.2
 */
public record StoredClaim(long version, PromotionClaim claim) {}
