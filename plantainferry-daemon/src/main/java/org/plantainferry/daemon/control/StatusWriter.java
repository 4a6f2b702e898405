package org.plantainferry.daemon.control;

import java.util.List;
import java.util.Optional;
import org.plantainferry.api.configuration.Workspace;
import org.plantainferry.api.json.Json;
import org.plantainferry.daemon.traffic.TokenBucketProvider;
import org.plantainferry.engine.limit.WorkspaceTokenBucket;
import org.plantainferry.engine.membership.Member;
import org.plantainferry.engine.routing.ServerObservation;
import org.plantainferry.network.operator.InstanceStatus;
import org.plantainferry.network.operator.MemberStatus;
import org.plantainferry.network.operator.ServerStatus;
import org.plantainferry.network.operator.ServiceStatus;
import org.plantainferry.network.operator.WorkspaceStatus;

/**
 * Writes the status of an instance for operators.
 *
 * @since 0.1
 */
public final class StatusWriter {
    private static final long STATUS_TIMEOUT_MILLIS = 1_000;

    private final ControlPlane mControl;

    /** Creates a writer. */
    public StatusWriter(ControlPlane control) {
        mControl = control;
    }

    /** Returns the status as JSON text; not to be called on the control thread. */
    public String write() {
        ControlPlane.StatusReport report = mControl.status(STATUS_TIMEOUT_MILLIS);
        TokenBucketProvider rates = mControl.tokenBuckets();
        return Json.write(
                new InstanceStatus(
                        report.self().id(),
                        report.self().failureDomain(),
                        report.phase().name(),
                        report.configuration().version(),
                        report.freshness().name(),
                        report.members().stream().map(each -> memberStatus(each, report)).toList(),
                        report.groups().stream().map(StatusWriter::serviceStatus).toList(),
                        report.configuration().parts().workspaces().stream()
                                .map(each -> workspaceStatus(each, rates, report.nowNanos()))
                                .toList()));
    }

    private static MemberStatus memberStatus(Member member, ControlPlane.StatusReport report) {
        ControlPlane.PeerStatus known =
                report.peers().getOrDefault(member.id(), ControlPlane.PeerStatus.NONE);
        return new MemberStatus(
                member.id(),
                member.failureDomain(),
                member.leaving() ? "leaving" : "live",
                known.configurationVersion(),
                known.silenceMillis());
    }

    private static ServiceStatus serviceStatus(GroupMonitorController.GroupStatus group) {
        List<ServerStatus> servers =
                group.servers().stream().map(StatusWriter::serverStatus).toList();
        return new ServiceStatus(group.service(), group.term(), group.primary(), servers);
    }

    private static ServerStatus serverStatus(GroupMonitorController.ProbedServer seen) {
        ServerObservation observation = seen.observation();
        return new ServerStatus(
                observation.server(),
                observation.role().wireName(),
                observation.term(),
                observation.position(),
                Optional.of(observation.lagMillis()),
                seen.reachable(),
                observation.leaving());
    }

    private static WorkspaceStatus workspaceStatus(
            Workspace workspace, TokenBucketProvider rates, long now) {
        Optional<WorkspaceTokenBucket> bucket = rates.bucket(workspace.name());
        return new WorkspaceStatus(
                workspace.name(),
                workspace.ratePerSecond(),
                bucket.map(each -> each.ratePerSecond(now)).orElse(0.0),
                bucket.map(each -> each.demandPerSecond(now)).orElse(0.0));
    }
}
