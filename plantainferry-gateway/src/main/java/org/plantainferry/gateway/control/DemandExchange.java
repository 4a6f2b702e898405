package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.plantainferry.engine.quota.ReportPolicy;
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
    private static final double LEAST_DEMAND = 0.05;

    private final EventLoop mLoop;
    private final String mInstance;
    private final TrafficServer mTraffic;
    private final PeerChannel mPeers;
    private final LongSupplier mClock;
    private final ReportPolicy mPolicy;
    private final Set<String> mHeard = new HashSet<>();
    private Map<String, InstanceEntry> mOthers = Map.of();
    private Map<String, Double> mReported = Map.of();

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
        mPolicy = new ReportPolicy(clock.getAsLong());
    }

    void start() {
        mLoop.scheduleWithFixedDelay(
                () -> mTraffic.readDemand(demand -> mLoop.execute(() -> onDemand(demand))),
                CHECK_MILLIS,
                CHECK_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    void onOthers(Map<String, InstanceEntry> others) {
        mOthers = others;
        mHeard.retainAll(others.keySet());
    }

    private void onDemand(Map<String, Double> demand) {
        if (!mPolicy.takeDue(demand, mClock.getAsLong())) {
            return;
        }
        InstanceMessage message = message(demand);
        mReported = demand;
        mTraffic.onDemandReported(demand);
        mOthers.values().forEach(other -> mPeers.send(message, other.peerAddress()));
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
        InstanceEntry sender = mOthers.get(instance);
        if (sender != null && mHeard.add(instance)) {
            // An instance that has just started divides limits badly until it has all reports.
            mPeers.send(message(mReported), sender.peerAddress());
        }
        Map<String, Double> demand = new HashMap<>();
        for (WorkspaceDemand each : report.getWorkspacesList()) {
            demand.put(each.getWorkspace(), (double) each.getOperationsPerSecond());
        }
        mTraffic.onDemandReport(instance, demand);
    }
}
