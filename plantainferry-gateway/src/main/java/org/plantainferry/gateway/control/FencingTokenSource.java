package org.plantainferry.gateway.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.plantainferry.engine.freshness.StoreEpoch;
import org.plantainferry.engine.promotion.FencingTokens;
import org.plantainferry.engine.promotion.GroupFence;
import org.plantainferry.gateway.spi.PromotionClaim;

/**
 * Gives out the fencing tokens of claims.
 *
 * <p>A token is higher than those of the stored claim, of this process, and of the replacements
 * that other instances announced. Used by the control thread only.
 */
final class FencingTokenSource {
    private final String mHolder;
    private final FenceRegistry mFences;
    private final Map<String, Long> mHighestTokens = new HashMap<>();

    /**
     * Creates a source that knows no tokens.
     *
     * @param holder the name under which this instance claims groups
     * @param fences holds the tokens that other instances announced
     */
    FencingTokenSource(String holder, FenceRegistry fences) {
        mHolder = holder;
        mFences = fences;
    }

    /**
     * Returns a new token.
     *
     * @param epoch the epoch of the store that keeps the claim
     * @param stored the claim in the store; empty if there is none
     */
    long next(String service, StoreEpoch epoch, Optional<PromotionClaim> stored) {
        GroupFence fence = mFences.fence(service);
        long highest = mHighestTokens.getOrDefault(service, 0L);
        highest = Math.max(highest, Math.max(fence.token(), fence.newestOrder().token()));
        if (stored.isPresent()) {
            PromotionClaim claim = stored.get();
            highest = Math.max(highest, claim.fencingToken());
            highest = Math.max(highest, claim.newestOrder().token());
        }
        long token = FencingTokens.next(epoch, highest, mHolder);
        mHighestTokens.put(service, token);
        return token;
    }
}
