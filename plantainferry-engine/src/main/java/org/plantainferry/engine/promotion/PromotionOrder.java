package org.plantainferry.engine.promotion;

import org.plantainferry.api.Preconditions;

/**
 * Says which server was last ordered to lead a group, and whether it is known to do so.
 *
 * @param token the fencing token of the order; a higher one is newer, 0 says that none is known
 * @param server the server that was ordered; empty when none was
 * @param term the term that it leads; 0 while the outcome of the order is not known
 * @since 0.4
 */
public record PromotionOrder(long token, String server, long term) {
    /** Says that no order is known. */
    public static final PromotionOrder NONE = new PromotionOrder(0, "", 0);

    /** Checks the server. */
    public PromotionOrder {
        Preconditions.notNull(server, "server");
    }

    /** Returns whether the order may still be carried out, or may have been without notice. */
    public boolean isPending() {
        return !server.isEmpty() && term == 0;
    }

    /** Returns the newer one of two; of one order, that whose outcome is known. */
    PromotionOrder newer(PromotionOrder other) {
        boolean isOlder = other.token > token || (other.token == token && other.term > term);
        return isOlder ? other : this;
    }

    /**
     * Returns whether a server that says that it leads may be believed.
     *
     * <p>The server that was ordered did not lead before. Any other one is right only with the term
     * of that one or a later: a former primary that comes back, also under a new id, has an earlier
     * term.
     *
     * @param leadingTerm the term that the server says it leads
     */
    public boolean acceptsPrimary(String leading, long leadingTerm) {
        if (server.isEmpty() || leading.equals(server)) {
            return true;
        }
        return term > 0 && leadingTerm >= term;
    }
}
