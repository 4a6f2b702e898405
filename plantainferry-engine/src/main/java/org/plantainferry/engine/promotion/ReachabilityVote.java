package org.plantainferry.engine.promotion;

import java.util.HashSet;
import java.util.Set;

/**
 * Counts the answers of other instances on whether they reach a primary that does not answer this
 * one.
 *
 * <p>A primary that any instance reaches is alive and keeps its role. An instance without any
 * answer may itself be partitioned, so it reaches no verdict. Each instance counts once, however
 * often its answer arrives.
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
    private final Set<String> mUnreached = new HashSet<>();
    private boolean mReached;

    /**
     * Creates a vote without answers.
     *
     * @param others the number of other instances that were asked
     */
    public ReachabilityVote(int others) {
        mAskedInstances = others;
    }

    /** Counts the answer of one instance. */
    public void onAnswer(String instance, boolean reached) {
        if (reached) {
            mReached = true;
        } else {
            mUnreached.add(instance);
        }
    }

    /** Returns whether further answers cannot change the verdict. */
    public boolean isDecided() {
        return mReached || mUnreached.size() >= mAskedInstances;
    }

    /** Returns the verdict on the answers so far; to be called when decided or timed out. */
    public Verdict verdict() {
        if (mReached) {
            return Verdict.KEEP;
        }
        boolean isOnlyInstance = mAskedInstances == 0;
        return !mUnreached.isEmpty() || isOnlyInstance ? Verdict.REPLACE : Verdict.UNKNOWN;
    }
}
