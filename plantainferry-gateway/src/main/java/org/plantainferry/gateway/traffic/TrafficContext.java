package org.plantainferry.gateway.traffic;

import io.netty.channel.EventLoop;
import java.util.LinkedHashSet;
import java.util.Set;
import org.plantainferry.gateway.spi.WireFormat;

/** Joins what all sessions of an instance share; used by the traffic thread only. */
final class TrafficContext {
    private final EventLoop mLoop;
    private final WireFormat mFormat;
    private final ConnectionBroker mBroker;
    private final AdmissionControl mAdmission;
    private final TrafficMetrics mMetrics;
    private final Set<CallerSession> mSessions = new LinkedHashSet<>();
    private boolean mClosingIdleSessions;

    TrafficContext(
            EventLoop loop,
            WireFormat format,
            ConnectionBroker binder,
            AdmissionControl admission,
            TrafficMetrics counters) {
        mLoop = loop;
        mFormat = format;
        mBroker = binder;
        mAdmission = admission;
        mMetrics = counters;
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

    Set<CallerSession> sessions() {
        return mSessions;
    }

    boolean isClosingIdleSessions() {
        return mClosingIdleSessions;
    }

    void closeIdleSessions() {
        mClosingIdleSessions = true;
    }
}
