package org.plantainferry.engine.membership;

/** Holds what this instance knows of one other. */
final class PeerRecord {
    /** Absent from the platform's list, but heard of; it has no address yet. */
    private Member mMember;

    private long mIncarnation;
    private boolean mLeaving;
    private boolean mHeard;
    private long mHeardNanos;
    private long mFirstNanos;
    private int mUnanswered;
    private boolean mReportedSuspect;

    PeerRecord(long nowNanos) {
        mFirstNanos = nowNanos;
    }

    Member member() {
        return mMember;
    }

    void list(Member member) {
        mMember = member;
    }

    long incarnation() {
        return mIncarnation;
    }

    boolean leaving() {
        return mLeaving || (mMember != null && mMember.leaving());
    }

    /**
     * Takes in a sign of life; those of earlier incarnations are ignored.
     *
     * @return whether it was the latest one
     */
    boolean hear(long incarnation, boolean leaving, long atNanos) {
        if (mHeard && incarnation < mIncarnation) {
            return false;
        }
        if (!mHeard || incarnation > mIncarnation) {
            mIncarnation = incarnation;
            mLeaving = leaving;
        } else {
            mLeaving |= leaving;
        }
        if (mHeard && atNanos - mHeardNanos <= 0) {
            return false;
        }
        mHeard = true;
        mHeardNanos = atNanos;
        mUnanswered = 0;
        return true;
    }

    boolean isHeard() {
        return mHeard;
    }

    /** Returns the nanoseconds since the latest sign of life, or since the record began. */
    long silence(long nowNanos) {
        return Math.max(0, nowNanos - (mHeard ? mHeardNanos : mFirstNanos));
    }

    /** Forgives silence up to now, after this process itself has stood still. */
    void restartSilence(long nowNanos) {
        mHeardNanos = nowNanos;
        mFirstNanos = nowNanos;
        mUnanswered = 0;
    }

    int unanswered() {
        return mUnanswered;
    }

    void countUnanswered() {
        mUnanswered++;
    }

    boolean reportedSuspect() {
        return mReportedSuspect;
    }

    void reportedSuspect(boolean suspect) {
        mReportedSuspect = suspect;
    }
}
