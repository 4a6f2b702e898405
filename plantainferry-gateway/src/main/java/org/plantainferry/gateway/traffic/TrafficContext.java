package org.plantainferry.gateway.traffic;

import io.netty.channel.EventLoop;
import java.util.LinkedHashSet;
import java.util.Set;
import org.plantainferry.gateway.spi.WireFormat;

/**
 * Holds what all sessions of an instance share. Not thread-safe: used by the traffic thread only.
 */
final class TrafficContext {
    private final EventLoop mLoop;
    private final WireFormat mFormat;
    private final ConnectionBroker mBroker;
    private final AdmissionControl mAdmission;
    private final TrafficMetrics mMetrics;
    private final StatementRunner mRunner;
    private final Set<CallerSession> mSessions = new LinkedHashSet<>();
    private DrainStage mDrainStage = DrainStage.SERVING;

    TrafficContext(
            EventLoop loop,
            WireFormat format,
            ConnectionBroker broker,
            AdmissionControl admission,
            TrafficMetrics metrics,
            StatementRunner runner) {
        mLoop = loop;
        mFormat = format;
        mBroker = broker;
        mAdmission = admission;
        mMetrics = metrics;
        mRunner = runner;
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
