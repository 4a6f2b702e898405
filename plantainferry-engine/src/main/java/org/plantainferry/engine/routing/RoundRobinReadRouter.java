package org.plantainferry.engine.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.plantainferry.api.ServerId;

/**
 * Takes the replicas in turn without any estimate, as the baseline in measurements.
 *
 * <p>Terms, leaving servers and backoff are honoured; the server alone checks the position.
 *
 * @since 0.1
 */
public final class RoundRobinReadRouter implements ReadPolicy {
    private int mNextIndex;

    /** Creates a router that begins with the first replica. */
    public RoundRobinReadRouter() {}

    @Override
    public RoutingDecision choose(
            ReadRequirement requirement,
            GroupRoutingState view,
            ServerLoad load,
            Set<ServerId> excluded,
            long nowNanos) {
        view.observeLogPosition(requirement.minimum(), nowNanos);
        List<ServerEstimate> replicas = new ArrayList<>();
        for (ServerEstimate server : view.estimates()) {
            if (server.isReplica()
                    && !excluded.contains(server.server())
                    && view.isCurrent(server, requirement.minimum().term())
                    && server.isAttemptDue(nowNanos)) {
                replicas.add(server);
            }
        }
        RouteReason reason = RouteReason.ELIGIBLE_REPLICA;
        Optional<ServerEstimate> chosen =
                replicas.isEmpty()
                        ? Optional.empty()
                        : Optional.of(replicas.get(Math.floorMod(mNextIndex++, replicas.size())));
        if (chosen.isEmpty()) {
            reason = RouteReason.PRIMARY;
            chosen =
                    ServerAvailability.usablePrimary(
                            view, requirement.minimum().term(), excluded, nowNanos);
        }
        if (chosen.isEmpty()) {
            reason = RouteReason.PROBE;
            chosen = ServerAvailability.claimUnknownServer(view, excluded, nowNanos);
        }
        if (chosen.isEmpty() || requirement.deadlineNanos() - nowNanos <= 0) {
            return new RoutingDecision.Unavailable(
                    ServerAvailability.retryAfterMillis(view, nowNanos));
        }
        ServerAvailability.claimAttemptIfFailing(chosen.get(), nowNanos);
        return new RoutingDecision.UseServer(
                chosen.get().server(), requirement.minimum().position(), reason);
    }
}
