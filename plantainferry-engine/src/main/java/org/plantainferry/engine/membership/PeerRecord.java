package org.plantainferry.engine.membership;

import org.plantainferry.api.InstanceId;

/** Holds what this instance knows of one other. */
final class PeerRecord {
    private final InstanceId mId;

    /** Absent from the platform's list, but heard of; it has no address yet. */
    private Member mMember;

    private long mIncarnation;
    private boolean mLeaving;
    private boolean mContacted;
    private long mLastContactNanos;

    /** From when on silence counts; signs of life before this time may have been missed. */
    private long mSilenceStartNanos;

    private int mUnansweredHeartbeats;
    private long mLastUnansweredNanos;
    private boolean mHasFailureEvidence;

    /** The latest time at which the instance is known not to have answered. */
    private long mFailureEvidenceNanos;

    PeerRecord(InstanceId id, long nowNanos) {
        mId = id;
        mSilenceStartNanos = nowNanos;
    }

    InstanceId id() {
        return mId;
    }

    Member member() {
        return mMember;
    }

    void setMember(Member member) {
        mMember = member;
    }

    long incarnation() {
        return mIncarnation;
    }

    boolean leaving() {
        return mLeaving || (mMember != null && mMember.leaving());
    }

    /** Takes in a sign of life; those of earlier incarnations are ignored. */
    void recordContact(long incarnation, boolean leaving, long atNanos) {
        if (mContacted && incarnation < mIncarnation) {
            return;
        }
        if (!mContacted || incarnation > mIncarnation) {
            mIncarnation = incarnation;
            mLeaving = leaving;
            // A new incarnation refutes evidence; a first sign of life may be older than it.
            mHasFailureEvidence &= !mContacted;
        } else {
            mLeaving |= leaving;
        }
        if (mContacted && atNanos - mLastContactNanos <= 0) {
            return;
        }
        mContacted = true;
        mLastContactNanos = atNanos;
        if (atNanos - mSilenceStartNanos > 0) {
            mSilenceStartNanos = atNanos;
        }
        if (mUnansweredHeartbeats > 0 && atNanos - mLastUnansweredNanos > 0) {
            mUnansweredHeartbeats = 0;
        }
        dropRefutedEvidence();
    }

    /**
     * Returns whether the instance itself was heard of within a time, directly or through others.
     */
    boolean wasContactedWithin(long limitNanos, long nowNanos) {
        return mContacted && nowNanos - mLastContactNanos <= limitNanos;
    }

    boolean wasContacted() {
        return mContacted;
    }

    /** Returns the nanoseconds since the latest sign of life. */
    long contactAgeNanos(long nowNanos) {
        return Math.max(0, nowNanos - mLastContactNanos);
    }

    /** Returns the nanoseconds of silence that count against the instance. */
    long silenceNanos(long nowNanos) {
        return Math.max(0, nowNanos - mSilenceStartNanos);
    }

    /** Forgives silence up to now, and with it the evidence from before. */
    void restartSilence(long nowNanos) {
        mSilenceStartNanos = nowNanos;
        mUnansweredHeartbeats = 0;
        dropRefutedEvidence();
    }

    int unansweredHeartbeats() {
        return mUnansweredHeartbeats;
    }

    /** Counts a heartbeat that was sent at a time and not answered. */
    void countUnanswered(long sentNanos) {
        if (sentNanos - mSilenceStartNanos > 0) {
            mUnansweredHeartbeats++;
            mLastUnansweredNanos = sentNanos;
        }
    }

    /** Takes in that the instance did not answer at a time, unless it was heard of later. */
    boolean addFailureEvidence(long atNanos) {
        if (atNanos - mSilenceStartNanos <= 0
                || mHasFailureEvidence && atNanos - mFailureEvidenceNanos <= 0) {
            return false;
        }
        mHasFailureEvidence = true;
        mFailureEvidenceNanos = atNanos;
        return true;
    }

    boolean hasFailureEvidence() {
        return mHasFailureEvidence;
    }

    /** Returns the nanoseconds since the latest evidence. */
    long failureEvidenceAgeNanos(long nowNanos) {
        return Math.max(0, nowNanos - mFailureEvidenceNanos);
    }

    private void dropRefutedEvidence() {
        mHasFailureEvidence &= mFailureEvidenceNanos - mSilenceStartNanos > 0;
    }
}
