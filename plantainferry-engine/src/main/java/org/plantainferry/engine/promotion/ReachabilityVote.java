package org.plantainferry.engine.promotion;

/**
 * Counts the answers of other instances on whether they reach a primary that does not answer this
 * one.
 *
 * <p>A primary that any instance reaches is alive and keeps its role. An instance without any
 * answer may itself be partitioned, so it reaches no verdict.
 *
 * @since 0.2
 */
public final class ReachabilityVote {
    /** Lists the results of a vote. */
    public enum Verdict {
        /** The primary keeps its role. */
        KEEP,
        /** The primary is to be replaced. */
        REPLACE,
        /** No instance has answered. */
        UNKNOWN
    }

    private final int mAskedInstances;
    private int mReached;
    private int mUnreached;

    /**
     * Creates a vote without answers.
     *
     * @param others the number of other instances that were asked
     */
    public ReachabilityVote(int others) {
        mAskedInstances = others;
    }

    /** Counts the answer of one instance. */
    public void onAnswer(boolean reached) {
        if (reached) {
            mReached++;
        } else {
            mUnreached++;
        }
    }

    /** Returns whether further answers cannot change the verdict. */
    public boolean isDecided() {
        return mReached > 0 || mUnreached >= mAskedInstances;
    }

    /** Returns the verdict on the answers so far; to be called when decided or timed out. */
    public Verdict verdict() {
        if (mReached > 0) {
            return Verdict.KEEP;
        }
        boolean isOnlyInstance = mAskedInstances == 0;
        return mUnreached > 0 || isOnlyInstance ? Verdict.REPLACE : Verdict.UNKNOWN;
    }
}
