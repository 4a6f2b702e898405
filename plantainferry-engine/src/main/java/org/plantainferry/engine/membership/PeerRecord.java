package org.plantainferry.engine.membership;

import org.plantainferry.api.InstanceId;

/** Holds what this instance knows of one other. */
final class PeerRecord {
    private final InstanceId mId;

    /** Absent from the platform's list, but heard of; it has no address yet. */
    private Member mMember;

    private long mIncarnation;
    private boolean mLeaving;
    private boolean mHeard;
    private long mHeardNanos;

    /** From when on silence counts; signs of life before this time may have been missed. */
    private long mCountedNanos;

    private int mUnanswered;
    private long mUnansweredNanos;
    private boolean mHasEvidence;

    /** The latest time at which the instance is known not to have answered. */
    private long mEvidenceNanos;

    PeerRecord(InstanceId id, long nowNanos) {
        mId = id;
        mCountedNanos = nowNanos;
    }

    InstanceId id() {
        return mId;
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

    /** Takes in a sign of life; those of earlier incarnations are ignored. */
    void hear(long incarnation, boolean leaving, long atNanos) {
        if (mHeard && incarnation < mIncarnation) {
            return;
        }
        if (!mHeard || incarnation > mIncarnation) {
            mIncarnation = incarnation;
            mLeaving = leaving;
            // A new incarnation refutes evidence; a first sign of life may be older than it.
            mHasEvidence &= !mHeard;
        } else {
            mLeaving |= leaving;
        }
        if (mHeard && atNanos - mHeardNanos <= 0) {
            return;
        }
        mHeard = true;
        mHeardNanos = atNanos;
        if (atNanos - mCountedNanos > 0) {
            mCountedNanos = atNanos;
        }
        if (mUnanswered > 0 && atNanos - mUnansweredNanos > 0) {
            mUnanswered = 0;
        }
        dropOldEvidence();
    }

    /**
     * Returns whether the instance itself was heard of within a time, directly or through others.
     */
    boolean isHeardWithin(long limitNanos, long nowNanos) {
        return mHeard && nowNanos - mHeardNanos <= limitNanos;
    }

    boolean isHeard() {
        return mHeard;
    }

    /** Returns the nanoseconds since the latest sign of life. */
    long heardAge(long nowNanos) {
        return Math.max(0, nowNanos - mHeardNanos);
    }

    /** Returns the nanoseconds of silence that count against the instance. */
    long silence(long nowNanos) {
        return Math.max(0, nowNanos - mCountedNanos);
    }

    /** Forgives silence up to now, and with it the evidence from before. */
    void restartSilence(long nowNanos) {
        mCountedNanos = nowNanos;
        mUnanswered = 0;
        dropOldEvidence();
    }

    int unanswered() {
        return mUnanswered;
    }

    /** Counts a heartbeat that was sent at a time and not answered. */
    void countUnanswered(long sentNanos) {
        if (sentNanos - mCountedNanos > 0) {
            mUnanswered++;
            mUnansweredNanos = sentNanos;
        }
    }

    /** Takes in that the instance did not answer at a time, unless it was heard of later. */
    boolean addEvidence(long atNanos) {
        if (atNanos - mCountedNanos <= 0 || mHasEvidence && atNanos - mEvidenceNanos <= 0) {
            return false;
        }
        mHasEvidence = true;
        mEvidenceNanos = atNanos;
        return true;
    }

    boolean hasEvidence() {
        return mHasEvidence;
    }

    /** Returns the nanoseconds since the latest evidence. */
    long evidenceAge(long nowNanos) {
        return Math.max(0, nowNanos - mEvidenceNanos);
    }

    private void dropOldEvidence() {
        mHasEvidence &= mEvidenceNanos - mCountedNanos > 0;
    }
}
