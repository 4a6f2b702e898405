package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.plantainferry.gateway.peer.PeerChannel;
import org.plantainferry.gateway.peer.generated.DemandReport;
import org.plantainferry.gateway.peer.generated.InstanceMessage;
import org.plantainferry.gateway.peer.generated.WorkspaceDemand;
import org.plantainferry.gateway.spi.InstanceEntry;
import org.plantainferry.gateway.traffic.TrafficServer;

/**
 * Tells the other instances how much each workspace asks for here.
 *
 * <p>A report is sent when demand has changed enough to move shares, and otherwise only now and
 * then. Used by the control thread only.
 */
final class DemandExchange {
    private static final long CHECK_MILLIS = 250;
    private static final long REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final double LEAST_CHANGE_PART = 0.2;
    private static final double LEAST_CHANGE = 1.0;
    private static final double LEAST_DEMAND = 0.05;

    private final EventLoop mLoop;
    private final String mInstance;
    private final TrafficServer mTraffic;
    private final PeerChannel mPeers;
    private final LongSupplier mClock;
    private Map<String, InstanceEntry> mOthers = Map.of();
    private Map<String, Double> mReported = Map.of();
    private long mReportedNanos;

    DemandExchange(
            EventLoop loop,
            String instance,
            TrafficServer traffic,
            PeerChannel peers,
            LongSupplier clock) {
        mLoop = loop;
        mInstance = instance;
        mTraffic = traffic;
        mPeers = peers;
        mClock = clock;
    }

    void start() {
        mReportedNanos = mClock.getAsLong();
        mLoop.scheduleWithFixedDelay(
                () -> mTraffic.readDemand(demand -> mLoop.execute(() -> onDemand(demand))),
                CHECK_MILLIS,
                CHECK_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    void onOthers(Map<String, InstanceEntry> others) {
        mOthers = others;
    }

    private void onDemand(Map<String, Double> demand) {
        long now = mClock.getAsLong();
        boolean isDue = now - mReportedNanos >= REPEAT_NANOS;
        if (!isDue && !isMoved(demand)) {
            return;
        }
        mReported = new HashMap<>(demand);
        mReportedNanos = now;
        InstanceMessage message = message(demand);
        mOthers.values().forEach(other -> mPeers.send(message, other.peerAddress()));
    }

    private boolean isMoved(Map<String, Double> demand) {
        for (Map.Entry<String, Double> each : demand.entrySet()) {
            double before = mReported.getOrDefault(each.getKey(), 0.0);
            double change = Math.abs(each.getValue() - before);
            if (change >= LEAST_CHANGE && change >= before * LEAST_CHANGE_PART) {
                return true;
            }
        }
        return false;
    }

    private InstanceMessage message(Map<String, Double> demand) {
        DemandReport.Builder report = DemandReport.newBuilder();
        demand.forEach(
                (workspace, perSecond) -> {
                    if (perSecond >= LEAST_DEMAND) {
                        report.addWorkspaces(
                                WorkspaceDemand.newBuilder()
                                        .setWorkspace(workspace)
                                        .setOperationsPerSecond(perSecond.floatValue()));
                    }
                });
        return InstanceMessage.newBuilder().setInstance(mInstance).setDemandReport(report).build();
    }

    void onReport(String instance, DemandReport report) {
        Map<String, Double> demand = new HashMap<>();
        for (WorkspaceDemand each : report.getWorkspacesList()) {
            demand.put(each.getWorkspace(), (double) each.getOperationsPerSecond());
        }
        mTraffic.onDemandReport(instance, demand);
    }
}
