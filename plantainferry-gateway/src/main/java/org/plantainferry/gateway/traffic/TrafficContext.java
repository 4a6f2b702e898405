package org.plantainferry.gateway.traffic;

import io.netty.channel.EventLoop;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.plantainferry.engine.processor.WorkLimit;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.processor.LoopDelayProbe;
import org.plantainferry.gateway.spi.WireFormat;
import org.plantainferry.gateway.statement.FailureCode;

/**
 * Holds what all sessions of an instance share. Not thread-safe: used by the traffic thread only.
 */
final class TrafficContext {
    private static final String TOO_MANY = "too-many-sessions";
    private static final Comparator<CallerSession> BY_LAST_OPERATION =
            (first, second) ->
                    Long.signum(first.operationStartNanos() - second.operationStartNanos());

    private final EventLoop mLoop;
    private final WireFormat mFormat;
    private final ConnectionBroker mBroker;
    private final AdmissionControl mAdmission;
    private final TrafficMetrics mMetrics;
    private final StatementRunner mRunner;
    private final Set<CallerSession> mSessions = new LinkedHashSet<>();
    private final ConnectionMemory mMemory;
    private final int mMaxSessions;
    private final LoopDelayProbe mDelayProbe;
    private final WorkLimit mWorkLimit = new WorkLimit();
    private DrainStage mDrainStage = DrainStage.SERVING;

    TrafficContext(
            EventLoop loop,
            WireFormat format,
            ConnectionBroker broker,
            AdmissionControl admission,
            TrafficMetrics metrics,
            StatementRunner runner,
            ConnectionMemory memory,
            int maxSessions,
            LoopDelayProbe delayProbe) {
        mLoop = loop;
        mFormat = format;
        mBroker = broker;
        mAdmission = admission;
        mMetrics = metrics;
        mRunner = runner;
        mMemory = memory;
        mMaxSessions = maxSessions;
        mDelayProbe = delayProbe;
    }

    EventLoop loop() {
        return mLoop;
    }

    WireFormat format() {
        return mFormat;
    }

    ConnectionBroker broker() {
        return mBroker;
    }

    AdmissionControl admission() {
        return mAdmission;
    }

    TrafficMetrics metrics() {
        return mMetrics;
    }

    StatementRunner runner() {
        return mRunner;
    }

    ConnectionMemory memory() {
        return mMemory;
    }

    /** Returns a count of the work for a new session. */
    SessionWork newSessionWork() {
        return new SessionWork(mWorkLimit, mDelayProbe, mBroker::now);
    }

    /** Returns the refusal of an operation for which there is no processor time now. */
    Admission.Refused refusalForLackOfProcessor() {
        return new Admission.Refused(
                FailureCode.BUSY,
                "this instance is short of processor time",
                mWorkLimit.retryAfterMillis(mBroker.random()));
    }

    /** Returns the measure of how late the traffic thread is. */
    LoopDelayProbe delayProbe() {
        return mDelayProbe;
    }

    /**
     * Closes a connection that has no work, if more are open than may be: one that has not opened
     * its session, or else the session without work for the longest time, whose caller connects
     * again when it needs to.
     *
     * @return whether there was room, or has been made
     */
    boolean makeRoomForSession() {
        if (mSessions.size() <= mMaxSessions) {
            return true;
        }
        mMetrics.onCallerClosed(TOO_MANY);
        GatewayEvent.TOO_MANY_SESSIONS.log(mMaxSessions);
        // The last one is the new connection itself.
        int others = mSessions.size() - 1;
        Optional<CallerSession> unused =
                mSessions.stream()
                        .limit(others)
                        .filter(session -> !session.isOpened())
                        .findFirst()
                        .or(
                                () ->
                                        mSessions.stream()
                                                .limit(others)
                                                .filter(CallerSession::isIdle)
                                                .min(BY_LAST_OPERATION));
        unused.ifPresent(CallerSession::abort);
        return unused.isPresent();
    }

    Set<CallerSession> sessions() {
        return mSessions;
    }

    /** Returns whether a drain has reached a stage. */
    boolean hasReached(DrainStage stage) {
        return mDrainStage.hasReached(stage);
    }

    /** Begins a stage of a drain, unless a later one has begun. */
    void enter(DrainStage stage) {
        if (!mDrainStage.hasReached(stage)) {
            mDrainStage = stage;
        }
    }
}
