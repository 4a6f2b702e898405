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
    private static final double PART_OF_READS = 0.1;
    private static final double MOST_SAVED = 5;

    private double mSaved = MOST_SAVED;

    /** Counts a read, which allows a part of a second copy. */
    public void onRead() {
        mSaved = Math.min(MOST_SAVED, mSaved + PART_OF_READS);
    }

    /** Returns whether a read may be sent a second time now, and counts it if so. */
    public boolean tryHedge() {
        if (mSaved < 1) {
            return false;
        }
        mSaved -= 1;
        return true;
    }
}
