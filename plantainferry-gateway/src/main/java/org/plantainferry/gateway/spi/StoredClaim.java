package org.plantainferry.gateway.spi;

/**
 * Holds a claim with the version under which the store keeps it.
 *
 * @since 0.2
 */
public record StoredClaim(long version, PromotionClaim claim) {}
