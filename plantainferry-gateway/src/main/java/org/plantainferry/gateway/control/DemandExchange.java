package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiConsumer;
import org.plantainferry.engine.quota.DemandReportOrder;
import org.plantainferry.engine.quota.ReportingProcesses;
import org.plantainferry.gateway.peer.PeerChannel;
import org.plantainferry.gateway.peer.generated.DemandReport;
import org.plantainferry.gateway.peer.generated.InstanceMessage;
import org.plantainferry.gateway.peer.generated.WorkspaceDemand;
import org.plantainferry.gateway.spi.InstanceEntry;

/**
 * Reports the demand of each workspace at this instance to the other instances.
 *
 * <p>A report that is too long for one datagram is preceded by an incomplete one with the
 * workspaces that are nearest to their limits, for builds that cannot read the whole one: a build
 * without a report of an instance counts it with an even share, so that a limit is given out
 * several times.
 *
 * <p>Reports may arrive out of order, so they are numbered.
 *
 * <p>Used by the control thread only, except {@link #onDemand}.
 */
final class DemandExchange {
    private static final double MIN_REPORTED_PER_SECOND = 0.05;
    // The tag and the length of an entry of up to 16 KiB.
    private static final int ENTRY_OVERHEAD_BYTES = 3;
    // The length of a report takes more bytes when entries are added.
    private static final int MESSAGE_LENGTH_BYTES = 2;

    private final EventLoop mLoop;
    private final String mInstance;
    private final BiConsumer<String, Map<String, Double>> mReportListener;
    private final PeerChannel mPeers;
    private final long mProcess;
    private final ReportingProcesses mReportingProcesses = new ReportingProcesses();
    private final DemandReportOrder mReportOrder = new DemandReportOrder();
    private Map<String, InstanceEntry> mOtherInstances = Map.of();
    private Map<String, Double> mLastReported = Map.of();
    private long mLastNumber;

    /**
     * Creates an exchange that knows no other instance yet.
     *
     * @param reportListener receives the name of another instance and its demand, in operations per
     *     second by workspace
     */
    DemandExchange(
            EventLoop loop,
            String instance,
            BiConsumer<String, Map<String, Double>> reportListener,
            PeerChannel peers,
            Random random) {
        mLoop = loop;
        mInstance = instance;
        mReportListener = reportListener;
        mPeers = peers;
        mProcess = random.nextLong();
    }

    /**
     * Broadcasts the demand reported by the traffic thread; may be called from any thread.
     *
     * @param demandPerSecond operations per second by workspace, in order of decreasing importance
     */
    void onDemand(Map<String, Double> demandPerSecond) {
        mLoop.execute(() -> broadcast(demandPerSecond));
    }

    private void broadcast(Map<String, Double> demandPerSecond) {
        mLastReported = demandPerSecond;
        mLastNumber++;
        List<InstanceMessage> messages = messages(demandPerSecond);
        mOtherInstances.values().forEach(instance -> send(messages, instance));
    }

    private void send(List<InstanceMessage> messages, InstanceEntry receiver) {
        messages.forEach(message -> mPeers.send(message, receiver.peerAddress()));
    }

    void onOtherInstances(Map<String, InstanceEntry> otherInstances) {
        boolean isFirstList = mOtherInstances.isEmpty();
        mOtherInstances = otherInstances;
        mReportingProcesses.retain(otherInstances.keySet());
        mReportOrder.retain(otherInstances.keySet());
        if (isFirstList) {
            // Earlier reports reached no instance, because the others were not known.
            broadcast(mLastReported);
        }
    }

    /** Returns the report, after an incomplete one if it does not fit into one datagram. */
    private List<InstanceMessage> messages(Map<String, Double> demand) {
        DemandReport.Builder report = newReport();
        demand.forEach(
                (workspace, perSecond) -> {
                    if (perSecond >= MIN_REPORTED_PER_SECOND) {
                        report.addWorkspaces(
                                WorkspaceDemand.newBuilder()
                                        .setWorkspace(workspace)
                                        .setOperationsPerSecond(perSecond.floatValue()));
                    }
                });
        InstanceMessage whole = message(report);
        if (whole.getSerializedSize() <= PeerChannel.MAX_DATAGRAM_BYTES) {
            return List.of(whole);
        }
        return List.of(incompleteMessage(report), whole);
    }

    /** Returns a report of as many of the first workspaces as fit into one datagram. */
    private InstanceMessage incompleteMessage(DemandReport.Builder whole) {
        DemandReport.Builder report = newReport().setIncomplete(true);
        int bytes = message(report).getSerializedSize() + MESSAGE_LENGTH_BYTES;
        for (WorkspaceDemand workspace : whole.getWorkspacesList()) {
            bytes += workspace.getSerializedSize() + ENTRY_OVERHEAD_BYTES;
            if (bytes > PeerChannel.MAX_DATAGRAM_BYTES) {
                break;
            }
            report.addWorkspaces(workspace);
        }
        return message(report);
    }

    private DemandReport.Builder newReport() {
        return DemandReport.newBuilder().setProcess(mProcess).setNumber(mLastNumber);
    }

    private InstanceMessage message(DemandReport.Builder report) {
        return InstanceMessage.newBuilder().setInstance(mInstance).setDemandReport(report).build();
    }

    void onReport(String instance, DemandReport report) {
        long process = report.getProcess();
        if (report.getIncomplete() || !mReportOrder.accept(instance, process, report.getNumber())) {
            return;
        }
        InstanceEntry sender = mOtherInstances.get(instance);
        if (sender != null && mReportingProcesses.isFirstReport(instance, process)) {
            send(messages(mLastReported), sender);
        }
        Map<String, Double> demand = new HashMap<>();
        for (WorkspaceDemand workspaceDemand : report.getWorkspacesList()) {
            demand.put(
                    workspaceDemand.getWorkspace(),
                    (double) workspaceDemand.getOperationsPerSecond());
        }
        mReportListener.accept(instance, demand);
    }
}
