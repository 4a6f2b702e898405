package org.plantainferry.gateway.spi;

import org.plantainferry.engine.promotion.PromotionOrder;

/**
 * Represents the claim of an instance to replace the primary of a group, with the newest promotion
 * order.
 *
 * @param holder the name of the instance that holds the claim
 * @param fencingToken a number that increases with each new claim and each renewal
 * @param open whether the replacement is still in progress
 * @param newestOrder the newest promotion order
 * @param unansweredPromotion whether a call to promote the ordered server had no answer, so that
 *     the platform may execute it late
 * @since 0.2
 */
public record PromotionClaim(
        String holder,
        long fencingToken,
        boolean open,
        PromotionOrder newestOrder,
        boolean unansweredPromotion) {
    /** Returns an open claim of the same holder with a higher fencing token and an order. */
    public PromotionClaim renewed(long token, PromotionOrder order, boolean unanswered) {
        return new PromotionClaim(holder, token, true, order, unanswered);
    }

    /** Returns this claim as closed, with the outcome of the replacement. */
    public PromotionClaim closed(PromotionOrder finalOrder, boolean unanswered) {
        return new PromotionClaim(holder, fencingToken, false, finalOrder, unanswered);
    }

    // Written out, because a generated method is linked at run time in each process.
    @Override
    public boolean equals(Object other) {
        return other instanceof PromotionClaim that
                && holder.equals(that.holder)
                && fencingToken == that.fencingToken
                && open == that.open
                && newestOrder.equals(that.newestOrder)
                && unansweredPromotion == that.unansweredPromotion;
    }

    @Override
    public int hashCode() {
        int hash = holder.hashCode();
        hash = 31 * hash + Long.hashCode(fencingToken);
        hash = 31 * hash + Boolean.hashCode(open);
        hash = 31 * hash + newestOrder.hashCode();
        hash = 31 * hash + Boolean.hashCode(unansweredPromotion);
        return hash;
    }
}
