package org.plantainferry.gateway.traffic;

import io.netty.channel.EventLoop;
import java.util.LinkedHashSet;
import java.util.Set;
import org.plantainferry.gateway.spi.WireFormat;

/** Joins what all sessions of an instance share; used by the traffic thread only. */
final class TrafficContext {
    private final EventLoop mLoop;
    private final WireFormat mFormat;
    private final Binder mBinder;
    private final AdmissionControl mAdmission;
    private final TrafficMetrics mCounters;
    private final Set<CallerSession> mSessions = new LinkedHashSet<>();
    private boolean mClosingIdleSessions;

    TrafficContext(
            EventLoop loop,
            WireFormat format,
            Binder binder,
            AdmissionControl admission,
            TrafficMetrics counters) {
        mLoop = loop;
        mFormat = format;
        mBinder = binder;
        mAdmission = admission;
        mCounters = counters;
    }

    EventLoop loop() {
        return mLoop;
    }

    WireFormat format() {
        return mFormat;
    }

    Binder binder() {
        return mBinder;
    }

    AdmissionControl admission() {
        return mAdmission;
    }

    TrafficMetrics counters() {
        return mCounters;
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
