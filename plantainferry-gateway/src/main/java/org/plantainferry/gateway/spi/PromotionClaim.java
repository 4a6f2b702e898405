package org.plantainferry.gateway.spi;

/**
 * Records which instance may replace the primary of a group.
 *
 * @param holder the instance
 * @param fencingToken increases with each new claim
 * @param open whether the holder is still at work
 * @since 0.2
 */
public record PromotionClaim(String holder, long fencingToken, boolean open) {}
