package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.plantainferry.gateway.peer.PeerChannel;
import org.plantainferry.gateway.peer.generated.DemandReport;
import org.plantainferry.gateway.peer.generated.InstanceMessage;
import org.plantainferry.gateway.peer.generated.WorkspaceDemand;
import org.plantainferry.gateway.spi.InstanceEntry;
import org.plantainferry.gateway.traffic.TrafficServer;

/**
 * Tells the other instances how much each workspace asks for here.
 *
 * <p>Used by the control thread only, except {@link #onDemand}.
 */
final class DemandExchange {
    private static final double MIN_REPORTED_PER_SECOND = 0.05;

    private final EventLoop mLoop;
    private final String mInstance;
    private final TrafficServer mTraffic;
    private final PeerChannel mPeers;
    private final Set<String> mReportingInstances = new HashSet<>();
    private Map<String, InstanceEntry> mOtherInstances = Map.of();
    private Map<String, Double> mLastReported = Map.of();

    DemandExchange(EventLoop loop, String instance, TrafficServer traffic, PeerChannel peers) {
        mLoop = loop;
        mInstance = instance;
        mTraffic = traffic;
        mPeers = peers;
    }

    /** Tells the others what the traffic thread reports; may be called from any thread. */
    void onDemand(Map<String, Double> demandPerSecond) {
        mLoop.execute(() -> broadcast(demandPerSecond));
    }

    private void broadcast(Map<String, Double> demandPerSecond) {
        mLastReported = demandPerSecond;
        InstanceMessage message = message(demandPerSecond);
        mOtherInstances.values().forEach(other -> mPeers.send(message, other.peerAddress()));
    }

    void onOtherInstances(Map<String, InstanceEntry> others) {
        boolean isFirstList = mOtherInstances.isEmpty();
        mOtherInstances = others;
        mReportingInstances.retainAll(others.keySet());
        if (isFirstList) {
            // The first report was due before the others were known.
            broadcast(mLastReported);
        }
    }

    private InstanceMessage message(Map<String, Double> demand) {
        DemandReport.Builder report = DemandReport.newBuilder();
        demand.forEach(
                (workspace, perSecond) -> {
                    if (perSecond >= MIN_REPORTED_PER_SECOND) {
                        report.addWorkspaces(
                                WorkspaceDemand.newBuilder()
                                        .setWorkspace(workspace)
                                        .setOperationsPerSecond(perSecond.floatValue()));
                    }
                });
        return InstanceMessage.newBuilder().setInstance(mInstance).setDemandReport(report).build();
    }

    void onReport(String instance, DemandReport report) {
        InstanceEntry sender = mOtherInstances.get(instance);
        if (sender != null && mReportingInstances.add(instance)) {
            // An instance that has just started divides limits badly until it has all reports.
            mPeers.send(message(mLastReported), sender.peerAddress());
        }
        Map<String, Double> demand = new HashMap<>();
        for (WorkspaceDemand each : report.getWorkspacesList()) {
            demand.put(each.getWorkspace(), (double) each.getOperationsPerSecond());
        }
        mTraffic.onDemandReport(instance, demand);
    }
}
