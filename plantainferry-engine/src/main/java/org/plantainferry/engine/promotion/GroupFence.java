package org.plantainferry.engine.promotion;

/**
 * Holds whether the primary of a group is being replaced, and which server was last ordered to
 * become the primary.
 *
 * <p>Instances exchange fences in any order and any number of times. {@link #merge} is therefore
 * commutative, associative and idempotent.
 *
 * @param token the fencing token of the newest replacement that was announced
 * @param blocked whether no server may be used as the primary, because an order may be sent at any
 *     moment
 * @param newestOrder the newest order
 * @since 0.4
 */
public record GroupFence(long token, boolean blocked, PromotionOrder newestOrder) {
    /** The fence of a group without a known replacement. */
    public static final GroupFence NONE = new GroupFence(0, false, PromotionOrder.NONE);

    /**
     * Returns the fence after a replacement was announced; it blocks unless a newer one is known.
     */
    public GroupFence withAnnounced(long newToken) {
        return merge(new GroupFence(newToken, true, newestOrder));
    }

    /**
     * Returns the fence after a replacement was abandoned or its order was sent.
     *
     * @param ended the token of the replacement; a newer replacement continues to block
     * @param newest the newest order
     */
    public GroupFence withReleased(long ended, PromotionOrder newest) {
        return merge(new GroupFence(ended, false, newest));
    }

    /** Returns the combined knowledge of this and another fence. */
    public GroupFence merge(GroupFence other) {
        PromotionOrder newest = newestOrder.newer(other.newestOrder);
        if (other.token > token) {
            return new GroupFence(other.token, other.blocked, newest);
        }
        boolean isBlocked = other.token == token ? blocked && other.blocked : blocked;
        return new GroupFence(token, isBlocked, newest);
    }

    // Written out, because a generated method is linked at run time in each process.
    @Override
    public boolean equals(Object other) {
        return other instanceof GroupFence that
                && token == that.token
                && blocked == that.blocked
                && newestOrder.equals(that.newestOrder);
    }

    @Override
    public int hashCode() {
        int hash = Long.hashCode(token);
        hash = 31 * hash + Boolean.hashCode(blocked);
        hash = 31 * hash + newestOrder.hashCode();
        return hash;
    }
}
