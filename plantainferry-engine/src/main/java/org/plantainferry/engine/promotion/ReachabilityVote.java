package org.plantainferry.engine.promotion;

/**
 * Counts what other instances say of a primary that does not answer here.
 *
 * <p>A primary that any instance reaches is alive and leads on. An instance that hears no other one
 * may itself be cut off, and then says nothing about the primary.
 *
 * @since 0.2
 */
public final class ReachabilityVote {
    /** Says what follows from the answers. */
    public enum Verdict {
        /** The primary leads on. */
        KEEP,
        /** The primary is to be replaced. */
        REPLACE,
        /** Nothing is known. */
        UNKNOWN
    }

    private final int mAskedInstances;
    private int mReached;
    private int mUnreached;

    /**
     * Creates a vote without answers.
     *
     * @param others the instances that were asked
     */
    public ReachabilityVote(int others) {
        mAskedInstances = others;
    }

    /** Counts an answer. */
    public void onAnswer(boolean reached) {
        if (reached) {
            mReached++;
        } else {
            mUnreached++;
        }
    }

    /** Returns whether no further answer could change the verdict. */
    public boolean isDecided() {
        return mReached > 0 || mUnreached >= mAskedInstances;
    }

    /** Returns the verdict when the time for answers has ended. */
    public Verdict verdict() {
        if (mReached > 0) {
            return Verdict.KEEP;
        }
        boolean isAlone = mAskedInstances == 0;
        return mUnreached > 0 || isAlone ? Verdict.REPLACE : Verdict.UNKNOWN;
    }
}
