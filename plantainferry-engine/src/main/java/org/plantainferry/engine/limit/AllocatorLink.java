package org.plantainferry.engine.limit;

import java.util.List;
import java.util.concurrent.TimeUnit;

/** Keeps what a borrower knows of its exchange with one allocator. */
final class AllocatorLink {
    private static final int MAXIMUM_UNANSWERED = 2;

    // The membership view drops a dead instance after 5 s; until then this avoids it.
    private static final long AVOIDANCE_NANOS = TimeUnit.SECONDS.toNanos(6);

    // A nonce is sent only while a deposit that echoes it can still outlast a grant.
    private static final long NONCE_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    private long mNonce;
    private long mNonceReceivedNanos;
    private long mOutstandingSequence;
    private long mSentNanos;
    private boolean mHasSent;
    private int mUnanswered;
    private boolean mAvoided;
    private long mAvoidedUntilNanos;
    private List<WorkspaceShareState> mListed = List.of();
    private int mDepositedSlots;
    private boolean mListAll;
    private boolean mEarlyRequestScheduled;
    private long mEarlyRequestNanos;

    /**
     * Notes a request.
     *
     * @param listed the workspaces with an entry; those that the answer leaves out get nothing
     * @param depositedSlots the slots that the request deposits or prolongs
     */
    void recordRequest(
            long nowNanos, long sequence, List<WorkspaceShareState> listed, int depositedSlots) {
        mListed = listed;
        mDepositedSlots = depositedSlots;
        mListAll = false;
        if (mOutstandingSequence != 0) {
            mUnanswered++;
            if (mUnanswered >= MAXIMUM_UNANSWERED) {
                mAvoided = true;
                mAvoidedUntilNanos = nowNanos + AVOIDANCE_NANOS;
            }
        }
        mOutstandingSequence = sequence;
        mSentNanos = nowNanos;
        mHasSent = true;
        mEarlyRequestScheduled = false;
    }

    /** Returns whether an answer is to the latest request; answers to earlier ones are ignored. */
    boolean accepts(long sequence) {
        return mOutstandingSequence != 0 && mOutstandingSequence == sequence;
    }

    /** Notes an answer; the next request lists everything if a deposit was not taken. */
    void recordAnswer(long nowNanos, long nonce, int depositedSlots) {
        mListAll = depositedSlots != mDepositedSlots;
        mOutstandingSequence = 0;
        mUnanswered = 0;
        mAvoided = false;
        mNonce = nonce;
        mNonceReceivedNanos = nowNanos;
    }

    List<WorkspaceShareState> listed() {
        return mListed;
    }

    boolean mustListAll() {
        return mListAll;
    }

    long sentNanos() {
        return mSentNanos;
    }

    boolean isOutstanding() {
        return mOutstandingSequence != 0;
    }

    long nonce(long nowNanos) {
        return mNonce != 0 && nowNanos - mNonceReceivedNanos < NONCE_LIFETIME_NANOS ? mNonce : 0;
    }

    boolean isAvoided(long nowNanos) {
        return mAvoided && nowNanos - mAvoidedUntilNanos < 0;
    }

    boolean isPeriodDue(long nowNanos) {
        return !mHasSent || nowNanos - mSentNanos >= ShareTiming.REQUEST_PERIOD_NANOS;
    }

    boolean isEarlyRequestDue(long nowNanos) {
        return mEarlyRequestScheduled
                && mOutstandingSequence == 0
                && nowNanos - mEarlyRequestNanos >= 0;
    }

    void scheduleEarlyRequest(long atNanos) {
        if (!mEarlyRequestScheduled || atNanos - mEarlyRequestNanos < 0) {
            mEarlyRequestScheduled = true;
            mEarlyRequestNanos = atNanos;
        }
    }
}
