package org.plantainferry.engine.replacement;

import java.util.Optional;
import org.plantainferry.api.ServerId;

/** Keeps the probes and answers of one server. */
final class ProbeTracker {
    private final ServerId mServer;
    private Optional<ServerProbeResult> mLatestResult = Optional.empty();
    private long mLatestResultSentNanos;
    private long mLatestResultReceivedNanos;
    private long mLastAnswerNanos;
    private long mLastProbeSentNanos;
    private boolean mProbed;
    private boolean mHasUnansweredProbe;
    private long mOldestUnansweredProbeNanos;

    ProbeTracker(ServerId server, long nowNanos) {
        mServer = server;
        mLastAnswerNanos = nowNanos;
    }

    ServerId server() {
        return mServer;
    }

    boolean isProbeDue(long intervalNanos, long nowNanos) {
        return !mProbed || nowNanos - mLastProbeSentNanos >= intervalNanos;
    }

    void onProbeSent(long nowNanos) {
        mProbed = true;
        mLastProbeSentNanos = nowNanos;
        if (!mHasUnansweredProbe) {
            mHasUnansweredProbe = true;
            mOldestUnansweredProbeNanos = nowNanos;
        }
    }

    /** Takes in an answer; returns whether it is newer than those before. */
    boolean onProbeAnswer(ServerProbeResult state, long sentNanos, long nowNanos) {
        mLastAnswerNanos = nowNanos;
        mHasUnansweredProbe = mLastProbeSentNanos - sentNanos > 0;
        mOldestUnansweredProbeNanos = mLastProbeSentNanos;
        if (mLatestResult.isPresent() && sentNanos - mLatestResultSentNanos < 0) {
            return false;
        }
        mLatestResult = Optional.of(state);
        mLatestResultSentNanos = sentNanos;
        mLatestResultReceivedNanos = nowNanos;
        return true;
    }

    /** Forgets how long probes have been unanswered, after this process stood still. */
    void resetSilence(long nowNanos) {
        mLastAnswerNanos = nowNanos;
        mOldestUnansweredProbeNanos = nowNanos;
    }

    /** Returns for how long the oldest probe since the last answer has been unanswered. */
    long unansweredProbeNanos(long nowNanos) {
        return mHasUnansweredProbe ? nowNanos - mOldestUnansweredProbeNanos : 0;
    }

    /**
     * Returns for how long the server has been silent. The time between the last answer and the
     * first unanswered probe counts only up to the fast probe interval of the first guardian, since
     * nothing was asked in it.
     */
    long silenceNanos(long nowNanos) {
        if (!mHasUnansweredProbe) {
            return 0;
        }
        long credited =
                mOldestUnansweredProbeNanos - GroupMonitorTiming.PRIMARY_PROBE_INTERVAL_NANOS;
        long since = mLastAnswerNanos - credited > 0 ? mLastAnswerNanos : credited;
        return nowNanos - since;
    }

    /** Returns the latest state when it was received within a time. */
    Optional<ServerProbeResult> latestResult(long maximumAgeNanos, long nowNanos) {
        return nowNanos - mLatestResultReceivedNanos <= maximumAgeNanos
                ? mLatestResult
                : Optional.empty();
    }

    long latestResultSentNanos() {
        return mLatestResultSentNanos;
    }
}
