package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.plantainferry.engine.quota.ReportingProcesses;
import org.plantainferry.gateway.peer.PeerChannel;
import org.plantainferry.gateway.peer.generated.DemandReport;
import org.plantainferry.gateway.peer.generated.InstanceMessage;
import org.plantainferry.gateway.peer.generated.WorkspaceDemand;
import org.plantainferry.gateway.spi.InstanceEntry;
import org.plantainferry.gateway.traffic.TrafficServer;

/**
 * Reports the demand of each workspace at this instance to the other instances.
 *
 * <p>Used by the control thread only, except {@link #onDemand}.
 */
final class DemandExchange {
    private static final double MIN_REPORTED_PER_SECOND = 0.05;

    private final EventLoop mLoop;
    private final String mInstance;
    private final TrafficServer mTraffic;
    private final PeerChannel mPeers;
    private final long mProcess;
    private final ReportingProcesses mReportingProcesses = new ReportingProcesses();
    private Map<String, InstanceEntry> mOtherInstances = Map.of();
    private Map<String, Double> mLastReported = Map.of();

    DemandExchange(
            EventLoop loop,
            String instance,
            TrafficServer traffic,
            PeerChannel peers,
            Random random) {
        mLoop = loop;
        mInstance = instance;
        mTraffic = traffic;
        mPeers = peers;
        mProcess = random.nextLong();
    }

    /** Broadcasts the demand reported by the traffic thread; may be called from any thread. */
    void onDemand(Map<String, Double> demandPerSecond) {
        mLoop.execute(() -> broadcast(demandPerSecond));
    }

    private void broadcast(Map<String, Double> demandPerSecond) {
        mLastReported = demandPerSecond;
        InstanceMessage message = message(demandPerSecond);
        mOtherInstances.values().forEach(instance -> mPeers.send(message, instance.peerAddress()));
    }

    void onOtherInstances(Map<String, InstanceEntry> otherInstances) {
        boolean isFirstList = mOtherInstances.isEmpty();
        mOtherInstances = otherInstances;
        mReportingProcesses.retain(otherInstances.keySet());
        if (isFirstList) {
            // Earlier reports reached no instance, because the others were not known.
            broadcast(mLastReported);
        }
    }

    private InstanceMessage message(Map<String, Double> demand) {
        DemandReport.Builder report = DemandReport.newBuilder().setProcess(mProcess);
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
        if (sender != null && mReportingProcesses.isFirstReport(instance, report.getProcess())) {
            mPeers.send(message(mLastReported), sender.peerAddress());
        }
        Map<String, Double> demand = new HashMap<>();
        for (WorkspaceDemand workspaceDemand : report.getWorkspacesList()) {
            demand.put(
                    workspaceDemand.getWorkspace(),
                    (double) workspaceDemand.getOperationsPerSecond());
        }
        mTraffic.onDemandReport(instance, demand);
    }
}
