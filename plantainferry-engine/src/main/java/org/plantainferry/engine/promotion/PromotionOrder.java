package org.plantainferry.engine.promotion;

import org.plantainferry.api.Preconditions;

/**
 * Holds an order to a server to become the primary of a group, and its outcome.
 *
 * @param token the fencing token of the order; a higher token is newer, 0 means that no order is
 *     known
 * @param server the id of the server; empty when no order is known
 * @param term the term in which the server became the primary; 0 while the outcome is unknown
 * @since 0.4
 */
public record PromotionOrder(long token, String server, long term) {
    /** Stands for no known order. */
    public static final PromotionOrder NONE = new PromotionOrder(0, "", 0);

    /** Checks the server. */
    public PromotionOrder {
        Preconditions.notNull(server, "server");
    }

    /** Returns whether the order may still be executed, or may have been without an answer. */
    public boolean isPending() {
        return !server.isEmpty() && term == 0;
    }

    /** Returns the newer of two orders; of equal tokens, the order whose outcome is known. */
    PromotionOrder newer(PromotionOrder other) {
        boolean isOtherNewer = other.token > token || (other.token == token && other.term > term);
        return isOtherNewer ? other : this;
    }

    /**
     * Returns whether a server that claims to be the primary may be accepted as such.
     *
     * <p>The ordered server was not the primary before, so it is always accepted. Any other server
     * must have the term of the ordered server or a later one: a former primary that returns, even
     * with a new id, has an earlier term.
     *
     * @param claimant the id of the server
     * @param claimedTerm the term in which the server claims to be the primary
     */
    public boolean acceptsPrimary(String claimant, long claimedTerm) {
        if (server.isEmpty() || claimant.equals(server)) {
            return true;
        }
        return term > 0 && claimedTerm >= term;
    }

    // Written out, because a generated method is linked at run time in each process.
    @Override
    public boolean equals(Object other) {
        return other instanceof PromotionOrder that
                && token == that.token
                && server.equals(that.server)
                && term == that.term;
    }

    @Override
    public int hashCode() {
        int hash = Long.hashCode(token);
        hash = 31 * hash + server.hashCode();
        hash = 31 * hash + Long.hashCode(term);
        return hash;
    }
}
