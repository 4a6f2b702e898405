package org.plantainferry.engine.placement;

/**
 * Limits how many reads are sent a second time because their answer is late.
 *
 * <p>When a server is overloaded, all answers are late; a second copy of every read would double
 * the load that made them late. Used by one thread.
 *
 * @since 0.2
 */
public final class HedgeBudget {
    private static final double CREDIT_PER_READ = 0.1;
    private static final double MAX_CREDIT = 5;

    private double mCredit = MAX_CREDIT;

    /** Counts a read, which allows a part of a second copy. */
    public void onRead() {
        mCredit = Math.min(MAX_CREDIT, mCredit + CREDIT_PER_READ);
    }

    /** Returns whether a read may be sent a second time now, and counts it if so. */
    public boolean tryHedge() {
        if (mCredit < 1) {
            return false;
        }
        mCredit -= 1;
        return true;
    }
}
