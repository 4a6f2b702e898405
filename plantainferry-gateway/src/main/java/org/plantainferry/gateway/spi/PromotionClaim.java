package org.plantainferry.gateway.spi;

import org.plantainferry.engine.promotion.PromotionOrder;

/**
 * Records which instance may replace the primary of a group, and which server was ordered to lead.
 *
 * @param holder the instance
 * @param fencingToken increases with each new claim
 * @param open whether the holder is still at work
 * @param newestOrder the newest order
 * @param unansweredPromotion whether a call to order it had no answer, so that it may be carried
 *     out late
 * @since 0.2
 */
public record PromotionClaim(
        String holder,
        long fencingToken,
        boolean open,
        PromotionOrder newestOrder,
        boolean unansweredPromotion) {
    /** Returns the next claim of the same holder, with an order. */
    public PromotionClaim renewed(PromotionOrder ordered, boolean mayBeLate) {
        return new PromotionClaim(holder, fencingToken + 1, true, ordered, mayBeLate);
    }

    /** Returns this claim when the work has ended. */
    public PromotionClaim closed(PromotionOrder last, boolean mayBeLate) {
        return new PromotionClaim(holder, fencingToken, false, last, mayBeLate);
    }
}
