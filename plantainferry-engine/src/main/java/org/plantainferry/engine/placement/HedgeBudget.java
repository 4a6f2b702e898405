package org.plantainferry.engine.placement;

/**
 * Limits the number of hedged reads, which are sent a second time because their answer is late.
 *
 * <p>When a server is overloaded, all answers are late, and hedging every read would double the
 * load that causes the delay. Not thread-safe.
 *
 * @since 0.2
 */
public final class HedgeBudget {
    private static final double CREDIT_PER_READ = 0.1;
    private static final double MAX_CREDIT = 5;

    private double mCredit = MAX_CREDIT;

    /** Counts a read, which adds credit for a tenth of a hedged read. */
    public void onRead() {
        mCredit = Math.min(MAX_CREDIT, mCredit + CREDIT_PER_READ);
    }

    /** Returns whether a read may be hedged now; if so, deducts it from the budget. */
    public boolean tryHedge() {
        if (mCredit < 1) {
            return false;
        }
        mCredit -= 1;
        return true;
    }
}
