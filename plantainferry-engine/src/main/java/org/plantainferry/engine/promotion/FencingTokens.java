package org.plantainferry.engine.promotion;

import org.plantainferry.engine.freshness.StoreEpoch;
import org.plantainferry.engine.membership.RendezvousScore;

/**
 * Computes fencing tokens that are never given out twice, although the store may lose claims.
 *
 * <p>A store that was restored from a copy returns an older claim or none, and those who knew the
 * newer one may be gone. The epoch of the store therefore forms the highest bits of a token. The
 * lowest bits belong to the holder, so that two holders have different tokens also where a write
 * that was sent before the restoration has replaced a claim after it.
 *
 * @since 0.6
 */
public final class FencingTokens {
    private static final int HOLDER_BITS = 10;
    private static final int EPOCH_SHIFT_BITS = 32;

    private FencingTokens() {}

    /**
     * Returns a token above the highest known one.
     *
     * @param epoch the epoch of the store that keeps the claim; if it is unknown, the tokens of a
     *     group increase by one
     * @param highest the highest known token of the group; 0 if none is known
     * @param holder the name of the instance that will use the token
     */
    public static long next(StoreEpoch epoch, long highest, String holder) {
        if (!epoch.isKnown()) {
            return highest + 1;
        }
        long holderNumber = RendezvousScore.hash(holder) & ((1L << HOLDER_BITS) - 1);
        long base = Math.max(highest, epoch.number() << EPOCH_SHIFT_BITS);
        long nextBlock = (base >>> HOLDER_BITS) + 1;
        return nextBlock << HOLDER_BITS | holderNumber;
    }
}
