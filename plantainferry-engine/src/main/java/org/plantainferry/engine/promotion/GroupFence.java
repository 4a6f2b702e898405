package org.plantainferry.engine.promotion;

/**
 * Says whether a group is about to get another primary, and which server was last ordered to lead.
 *
 * <p>Instances tell each other of it in any order and any number of times, so that two of them
 * always join to the same one.
 *
 * @param token the fencing token of the newest replacement that was announced
 * @param blocked whether no server may be used as primary, because an order may go out any moment
 * @param newestOrder the newest order
 * @since 0.4
 */
public record GroupFence(long token, boolean blocked, PromotionOrder newestOrder) {
    /** Says that no replacement is known. */
    public static final GroupFence NONE = new GroupFence(0, false, PromotionOrder.NONE);

    /** Returns what is known after a replacement was announced. */
    public GroupFence withAnnounced(long newToken) {
        return merge(new GroupFence(newToken, true, newestOrder));
    }

    /**
     * Returns what is known after a replacement was given up or ordered.
     *
     * @param ended the token of the replacement; a newer one goes on
     * @param newest the newest order
     */
    public GroupFence withReleased(long ended, PromotionOrder newest) {
        return merge(new GroupFence(ended, false, newest));
    }

    /** Returns what follows from two messages together. */
    public GroupFence merge(GroupFence other) {
        PromotionOrder newest = newestOrder.newer(other.newestOrder);
        if (other.token > token) {
            return new GroupFence(other.token, other.blocked, newest);
        }
        boolean isBlocked = other.token == token ? blocked && other.blocked : blocked;
        return new GroupFence(token, isBlocked, newest);
    }
}
