package org.plantainferry.engine.membership;

import org.plantainferry.api.InstanceId;

/** Holds what this instance knows about one peer. */
final class PeerRecord {
    private final InstanceId mId;

    /**
     * Null for a peer that is known only from heartbeats; it is not in the platform's list and has
     * no address yet.
     */
    private Member mMember;

    private long mIncarnation;
    private boolean mLeaving;
    private boolean mContacted;
    private long mLastContactNanos;

    /** The time from which silence is counted; contacts before this time may have been missed. */
    private long mSilenceStartNanos;

    private int mUnansweredHeartbeats;
    private long mLastUnansweredNanos;
    private boolean mHasFailureEvidence;

    /** The latest time at which the peer is known not to have answered. */
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

    /**
     * Records a direct or relayed contact with the peer; contacts of earlier incarnations are
     * ignored.
     */
    void recordContact(long incarnation, boolean leaving, long atNanos) {
        if (mContacted && incarnation < mIncarnation) {
            return;
        }
        if (!mContacted || incarnation > mIncarnation) {
            mIncarnation = incarnation;
            mLeaving = leaving;
            // A new incarnation refutes the evidence; a first contact may be older than the
            // evidence.
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
     * Returns whether there was a contact within the given time, directly or through other
     * instances.
     */
    boolean wasContactedWithin(long limitNanos, long nowNanos) {
        return mContacted && nowNanos - mLastContactNanos <= limitNanos;
    }

    boolean wasContacted() {
        return mContacted;
    }

    /** Returns the nanoseconds since the latest contact. */
    long contactAgeNanos(long nowNanos) {
        return Math.max(0, nowNanos - mLastContactNanos);
    }

    /** Returns the nanoseconds of silence that count towards a suspicion. */
    long silenceNanos(long nowNanos) {
        return Math.max(0, nowNanos - mSilenceStartNanos);
    }

    /** Restarts the count of silence at this time and drops earlier failure evidence. */
    void restartSilence(long nowNanos) {
        mSilenceStartNanos = nowNanos;
        mUnansweredHeartbeats = 0;
        dropRefutedEvidence();
    }

    int unansweredHeartbeats() {
        return mUnansweredHeartbeats;
    }

    /** Counts a heartbeat sent at the given time that was not answered. */
    void countUnanswered(long sentNanos) {
        if (sentNanos - mSilenceStartNanos > 0) {
            mUnansweredHeartbeats++;
            mLastUnansweredNanos = sentNanos;
        }
    }

    /**
     * Adds evidence that the peer did not answer at the given time; returns whether the evidence is
     * newer than the latest contact and the known evidence.
     */
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

    /** Returns the nanoseconds since the latest failure evidence. */
    long failureEvidenceAgeNanos(long nowNanos) {
        return Math.max(0, nowNanos - mFailureEvidenceNanos);
    }

    private void dropRefutedEvidence() {
        mHasFailureEvidence &= mFailureEvidenceNanos - mSilenceStartNanos > 0;
    }
}
