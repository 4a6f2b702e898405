package org.plantainferry.engine.replacement;

import java.util.Optional;
import org.plantainferry.api.ServerId;

/** Keeps the probes and answers of one server. */
final class ServerWatch {
    private final ServerId mServer;
    private Optional<ServerProbeResult> mState = Optional.empty();
    private long mStateSentNanos;
    private long mStateNanos;
    private long mAnsweredNanos;
    private long mProbedNanos;
    private boolean mProbed;
    private boolean mUnanswered;
    private long mUnansweredNanos;

    ServerWatch(ServerId server, long nowNanos) {
        mServer = server;
        mAnsweredNanos = nowNanos;
    }

    ServerId server() {
        return mServer;
    }

    boolean isProbeDue(long intervalNanos, long nowNanos) {
        return !mProbed || nowNanos - mProbedNanos >= intervalNanos;
    }

    void probe(long nowNanos) {
        mProbed = true;
        mProbedNanos = nowNanos;
        if (!mUnanswered) {
            mUnanswered = true;
            mUnansweredNanos = nowNanos;
        }
    }

    /** Takes in an answer; returns whether it is newer than those before. */
    boolean answer(ServerProbeResult state, long sentNanos, long nowNanos) {
        mAnsweredNanos = nowNanos;
        mUnanswered = mProbedNanos - sentNanos > 0;
        mUnansweredNanos = mProbedNanos;
        if (mState.isPresent() && sentNanos - mStateSentNanos < 0) {
            return false;
        }
        mState = Optional.of(state);
        mStateSentNanos = sentNanos;
        mStateNanos = nowNanos;
        return true;
    }

    /** Forgets how long probes have been unanswered, after this process stood still. */
    void restartSilence(long nowNanos) {
        mAnsweredNanos = nowNanos;
        mUnansweredNanos = nowNanos;
    }

    /** Returns for how long the oldest probe since the last answer has been unanswered. */
    long waitingNanos(long nowNanos) {
        return mUnanswered ? nowNanos - mUnansweredNanos : 0;
    }

    /**
     * Returns for how long the server has been silent. The time between the last answer and the
     * first unanswered probe counts only up to the fast probe interval of the first guardian, since
     * nothing was asked in it.
     */
    long silenceNanos(long nowNanos) {
        if (!mUnanswered) {
            return 0;
        }
        long credited = mUnansweredNanos - GuardianTiming.PRIMARY_INTERVAL_NANOS;
        long since = mAnsweredNanos - credited > 0 ? mAnsweredNanos : credited;
        return nowNanos - since;
    }

    /** Returns the latest state when it was received within a time. */
    Optional<ServerProbeResult> state(long maximumAgeNanos, long nowNanos) {
        return nowNanos - mStateNanos <= maximumAgeNanos ? mState : Optional.empty();
    }

    long stateSentNanos() {
        return mStateSentNanos;
    }
}
