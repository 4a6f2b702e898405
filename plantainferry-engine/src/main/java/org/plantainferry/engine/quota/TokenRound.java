package org.plantainferry.engine.quota;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which lender is asked for tokens next, and when a request for tokens has failed.
 *
 * <p>Lenders are asked one after the other. One that does not answer in time is busy or gone: the
 * next is asked, but a late answer still counts. A refusal is only certain when every lender has
 * refused, so the round stays open for some time while answers are missing. Not thread-safe.
 *
 * @since 0.3
 */
public final class TokenRound {
    /** Lists what follows from an event. */
    public enum Step {
        /** Ask the next lender. */
        ASK_NEXT,
        /** Wait for missing answers, and end the round after some time. */
        AWAIT_LATE_ANSWERS,
        /** Nothing; an earlier step is in progress. */
        NONE,
        /** The round has ended without tokens. */
        REFUSED
    }

    private final List<String> mRemaining;
    private final Set<String> mUnanswered = new HashSet<>();
    private Optional<String> mAsked = Optional.empty();
    private long mShortestRetryMillis;
    private boolean mEnded;

    /** Creates a round that asks lenders in the given order. */
    public TokenRound(List<String> lenders) {
        mRemaining = new ArrayList<>(lenders);
    }

    /** Returns the step that begins the round. */
    public Step begin() {
        return nextStep();
    }

    private Step nextStep() {
        if (!mRemaining.isEmpty()) {
            return Step.ASK_NEXT;
        }
        if (!mUnanswered.isEmpty()) {
            return Step.AWAIT_LATE_ANSWERS;
        }
        mEnded = true;
        return Step.REFUSED;
    }

    /** Returns the lender to ask; must follow {@link Step#ASK_NEXT}. */
    public String ask() {
        String lender = mRemaining.remove(0);
        mAsked = Optional.of(lender);
        mUnanswered.add(lender);
        return lender;
    }

    /** Records that a lender has not answered in time. */
    public Step onSilence(String lender) {
        if (mEnded || !mAsked.equals(Optional.of(lender))) {
            return Step.NONE;
        }
        mAsked = Optional.empty();
        return nextStep();
    }

    /**
     * Records the refusal of a lender.
     *
     * @param retryAfterMillis the time until it has a token; 0 if unknown
     */
    public Step onRefusal(String lender, long retryAfterMillis) {
        if (mEnded || !mUnanswered.remove(lender)) {
            return Step.NONE;
        }
        boolean isShorter = mShortestRetryMillis == 0 || retryAfterMillis < mShortestRetryMillis;
        if (retryAfterMillis > 0 && isShorter) {
            mShortestRetryMillis = retryAfterMillis;
        }
        boolean wasAsked = mAsked.equals(Optional.of(lender));
        if (wasAsked) {
            mAsked = Optional.empty();
            return nextStep();
        }
        boolean isLast = mRemaining.isEmpty() && mAsked.isEmpty() && mUnanswered.isEmpty();
        mEnded = isLast;
        return isLast ? Step.REFUSED : Step.NONE;
    }

    /** Records granted tokens; returns whether they still count, which is so once in a round. */
    public boolean onGrant() {
        boolean counts = !mEnded;
        mEnded = true;
        return counts;
    }

    /**
     * Ends the round because late answers are not awaited any longer; returns whether it was open.
     */
    public boolean giveUp() {
        boolean wasOpen = !mEnded;
        mEnded = true;
        return wasOpen;
    }

    /**
     * Returns the shortest known time until a lender has a token, in milliseconds; 0 if unknown.
     */
    public long shortestRetryMillis() {
        return mShortestRetryMillis;
    }
}
