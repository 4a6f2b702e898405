package org.plantainferry.engine.replacement;

import java.util.Optional;
import org.plantainferry.api.ServerId;

/** Tracks the probes of one server and its answers. */
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

    /**
     * Records an answer.
     *
     * @return whether its probe was sent no earlier than those of all previous answers
     */
    boolean onProbeAnswer(ServerProbeResult result, long sentNanos, long nowNanos) {
        mLastAnswerNanos = nowNanos;
        mHasUnansweredProbe = mLastProbeSentNanos - sentNanos > 0;
        mOldestUnansweredProbeNanos = mLastProbeSentNanos;
        if (mLatestResult.isPresent() && sentNanos - mLatestResultSentNanos < 0) {
            return false;
        }
        mLatestResult = Optional.of(result);
        mLatestResultSentNanos = sentNanos;
        mLatestResultReceivedNanos = nowNanos;
        return true;
    }

    /** Discards how long probes have been unanswered, after a pause of this process. */
    void resetSilence(long nowNanos) {
        mLastAnswerNanos = nowNanos;
        mOldestUnansweredProbeNanos = nowNanos;
    }

    /** Returns how long the oldest unanswered probe has waited; 0 when there is none. */
    long unansweredProbeNanos(long nowNanos) {
        return mHasUnansweredProbe ? nowNanos - mOldestUnansweredProbeNanos : 0;
    }

    /**
     * Returns how long the server has been silent; 0 when no probe is unanswered.
     *
     * <p>The time between the last answer and the first unanswered probe counts only up to the
     * interval at which the first monitor probes the primary, because no probe was sent in it.
     */
    long silenceNanos(long nowNanos) {
        if (!mHasUnansweredProbe) {
            return 0;
        }
        long earliestStart =
                mOldestUnansweredProbeNanos - GroupMonitorTiming.PRIMARY_PROBE_INTERVAL_NANOS;
        long since = mLastAnswerNanos - earliestStart > 0 ? mLastAnswerNanos : earliestStart;
        return nowNanos - since;
    }

    /** Returns the latest result; empty when it is older than {@code maximumAgeNanos}. */
    Optional<ServerProbeResult> latestResult(long maximumAgeNanos, long nowNanos) {
        return nowNanos - mLatestResultReceivedNanos <= maximumAgeNanos
                ? mLatestResult
                : Optional.empty();
    }

    long latestResultSentNanos() {
        return mLatestResultSentNanos;
    }
}
