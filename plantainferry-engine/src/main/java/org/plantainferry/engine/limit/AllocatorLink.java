package org.plantainferry.engine.limit;

import java.util.List;
import java.util.concurrent.TimeUnit;

/** Keeps what a borrower knows of its exchange with one allocator. */
final class AllocatorLink {
    private static final int UNANSWERED_LIMIT = 2;

    // The membership view drops a dead instance after 5 s; until then this avoids it.
    private static final long AVOIDED = TimeUnit.SECONDS.toNanos(6);

    // A nonce is sent only while a deposit that echoes it can still outlast a grant.
    private static final long NONCE_USABLE = TimeUnit.MILLISECONDS.toNanos(1_200);

    private long mNonce;
    private long mNonceSince;
    private long mOutstanding;
    private long mSentAt;
    private boolean mSentOnce;
    private int mUnanswered;
    private boolean mAvoided;
    private long mAvoidedUntil;
    private List<HeldShare> mListed = List.of();
    private int mDepositedSlots;
    private boolean mListAll;
    private boolean mUrgent;
    private long mUrgentAt;

    /**
     * Notes a request.
     *
     * @param listed the workspaces with an entry; those that the answer leaves out get nothing
     * @param depositedSlots the slots that the request deposits or prolongs
     */
    void sent(long nowNanos, long sequence, List<HeldShare> listed, int depositedSlots) {
        mListed = listed;
        mDepositedSlots = depositedSlots;
        mListAll = false;
        if (mOutstanding != 0) {
            mUnanswered++;
            if (mUnanswered >= UNANSWERED_LIMIT) {
                mAvoided = true;
                mAvoidedUntil = nowNanos + AVOIDED;
            }
        }
        mOutstanding = sequence;
        mSentAt = nowNanos;
        mSentOnce = true;
        mUrgent = false;
    }

    /** Returns whether an answer is to the latest request; answers to earlier ones are ignored. */
    boolean accepts(long sequence) {
        return mOutstanding != 0 && mOutstanding == sequence;
    }

    /** Notes an answer; the next request lists everything if a deposit was not taken. */
    void answered(long nowNanos, long nonce, int depositedSlots) {
        mListAll = depositedSlots != mDepositedSlots;
        mOutstanding = 0;
        mUnanswered = 0;
        mAvoided = false;
        mNonce = nonce;
        mNonceSince = nowNanos;
    }

    List<HeldShare> listed() {
        return mListed;
    }

    boolean mustListAll() {
        return mListAll;
    }

    long sentAt() {
        return mSentAt;
    }

    boolean isOutstanding() {
        return mOutstanding != 0;
    }

    long nonce(long nowNanos) {
        return mNonce != 0 && nowNanos - mNonceSince < NONCE_USABLE ? mNonce : 0;
    }

    boolean isAvoided(long nowNanos) {
        return mAvoided && nowNanos - mAvoidedUntil < 0;
    }

    boolean isPeriodDue(long nowNanos) {
        return !mSentOnce || nowNanos - mSentAt >= ShareTiming.REQUEST_PERIOD;
    }

    boolean isUrgent(long nowNanos) {
        return mUrgent && mOutstanding == 0 && nowNanos - mUrgentAt >= 0;
    }

    void makeUrgent(long atNanos) {
        if (!mUrgent || atNanos - mUrgentAt < 0) {
            mUrgent = true;
            mUrgentAt = atNanos;
        }
    }
}
