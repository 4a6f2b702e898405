package org.plantainferry.engine.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.ServerId;

/**
 * Sends reads to replicas that have caught up, and to the primary when none has.
 *
 * <p>All servers are compared rather than two random ones: a group has 3 to 5 servers, so the full
 * comparison is as cheap, and choosing at random among similar costs keeps instances from following
 * the same latency change together.
 *
 * @since 0.1
 */
public final class ReadRouter implements ReadPolicy {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long MAXIMUM_WAIT_NANOS = 50 * NANOS_PER_MILLI;

    /** Part of the deadline that a read may wait for a replica. */
    private static final int DEADLINE_DIVISOR = 4;

    /** A read that no server can take asks again after this time. */
    private static final long POLL_INTERVAL_NANOS = 25 * NANOS_PER_MILLI;

    /** Keeps a read from asking again at once when the estimated catch-up time is almost over. */
    private static final long MINIMUM_WAIT_NANOS = NANOS_PER_MILLI;

    /** Costs within a quarter of the least count as equal; the failure domain then decides. */
    private static final double SIMILAR_COST_FACTOR = 1.25;

    private final FailureDomain mFailureDomain;
    private final UniformRandomProvider mRandom;

    /**
     * Creates a router.
     *
     * @param failureDomain where this instance runs
     */
    public ReadRouter(FailureDomain failureDomain, UniformRandomProvider random) {
        mFailureDomain = Preconditions.notNull(failureDomain, "failureDomain");
        mRandom = Preconditions.notNull(random, "random");
    }

    @Override
    public RoutingDecision choose(
            ReadRequirement requirement,
            GroupRoutingState view,
            ServerLoad load,
            Set<ServerId> excluded,
            long nowNanos) {
        view.observeLogPosition(requirement.minimum(), nowNanos);
        long remaining = requirement.deadlineNanos() - nowNanos;
        if (remaining <= 0) {
            return new RoutingDecision.Unavailable(
                    ServerAvailability.retryAfterMillis(view, nowNanos));
        }
        List<ServerEstimate> replicas = candidateReplicas(requirement, view, excluded, nowNanos);
        // A server that fails would hold the read until its timeout; state probes show its
        // recovery.
        List<ServerEstimate> healthy =
                replicas.stream().filter(server -> server.failures() == 0).toList();
        List<ServerEstimate> eligible =
                healthy.stream().filter(s -> isEligible(s, requirement, view, nowNanos)).toList();
        if (!eligible.isEmpty()) {
            return useReplica(requirement, eligible, load, nowNanos);
        }
        long wait = waitNanos(requirement, view, healthy, remaining, nowNanos);
        if (wait > 0) {
            return new RoutingDecision.WaitForReplica(wait);
        }
        return chooseWithoutCaughtUpReplica(requirement, view, replicas, excluded, nowNanos);
    }

    private static List<ServerEstimate> candidateReplicas(
            ReadRequirement requirement,
            GroupRoutingState view,
            Set<ServerId> excluded,
            long nowNanos) {
        List<ServerEstimate> replicas = new ArrayList<>();
        for (ServerEstimate server : view.estimates()) {
            if (server.isReplica()
                    && !excluded.contains(server.server())
                    && view.isCurrent(server, requirement.minimum().term())
                    && server.isAttemptDue(nowNanos)) {
                replicas.add(server);
            }
        }
        return replicas;
    }

    private static boolean isEligible(
            ServerEstimate server,
            ReadRequirement requirement,
            GroupRoutingState view,
            long nowNanos) {
        return view.estimatedPosition(server.server(), nowNanos) >= requirement.minimum().position()
                && view.estimatedLagMillis(server.server(), nowNanos)
                        <= requirement.maximumAgeMillis().orElse(Long.MAX_VALUE);
    }

    private RoutingDecision useReplica(
            ReadRequirement requirement,
            List<ServerEstimate> eligible,
            ServerLoad load,
            long nowNanos) {
        // When no server has room the request queues for the cheapest one.
        List<ServerEstimate> free =
                eligible.stream().filter(server -> load.hasRoom(server.server())).toList();
        return useServer(
                cheapest(free.isEmpty() ? eligible : free, load, nowNanos),
                requirement,
                RouteReason.ELIGIBLE_REPLICA);
    }

    private ServerEstimate cheapest(List<ServerEstimate> servers, ServerLoad load, long nowNanos) {
        double least = Double.MAX_VALUE;
        for (ServerEstimate server : servers) {
            least = Math.min(least, cost(server, load, nowNanos));
        }
        double limit = least * SIMILAR_COST_FACTOR;
        List<ServerEstimate> similar =
                servers.stream().filter(s -> cost(s, load, nowNanos) <= limit).toList();
        List<ServerEstimate> near =
                similar.stream().filter(s -> s.failureDomain().equals(mFailureDomain)).toList();
        List<ServerEstimate> choice = near.isEmpty() ? similar : near;
        return choice.get(mRandom.nextInt(choice.size()));
    }

    private static double cost(ServerEstimate server, ServerLoad load, long nowNanos) {
        return (load.inFlight(server.server()) + 1) * server.latencyNanos(nowNanos);
    }

    /** Returns how long to wait for a replica; 0 when waiting is not worthwhile or allowed. */
    private static long waitNanos(
            ReadRequirement requirement,
            GroupRoutingState view,
            List<ServerEstimate> replicas,
            long remainingNanos,
            long nowNanos) {
        if (requirement.maximumAgeMillis().isPresent()) {
            return 0;
        }
        long waited = requirement.waitedNanos();
        long allowed =
                Math.min(MAXIMUM_WAIT_NANOS, (remainingNanos + waited) / DEADLINE_DIVISOR) - waited;
        long catchUp = Long.MAX_VALUE;
        for (ServerEstimate server : replicas) {
            long needed = view.catchUpNanos(server, requirement.minimum().position(), nowNanos);
            catchUp = Math.min(catchUp, needed);
        }
        // A replica that cannot catch up in the allowed time would only delay the read.
        return catchUp > allowed || allowed <= 0 ? 0 : Math.max(MINIMUM_WAIT_NANOS, catchUp);
    }

    private static RoutingDecision chooseWithoutCaughtUpReplica(
            ReadRequirement requirement,
            GroupRoutingState view,
            List<ServerEstimate> replicas,
            Set<ServerId> excluded,
            long nowNanos) {
        Optional<ServerEstimate> primary =
                ServerAvailability.usablePrimary(
                        view, requirement.minimum().term(), excluded, nowNanos);
        if (primary.isPresent()) {
            ServerAvailability.claimAttemptIfFailing(primary.get(), nowNanos);
            return useServer(primary.get(), requirement, RouteReason.PRIMARY);
        }
        ServerEstimate best = null;
        for (ServerEstimate server : replicas) {
            if (best == null
                    || view.estimatedPosition(server.server(), nowNanos)
                            > view.estimatedPosition(best.server(), nowNanos)) {
                best = server;
            }
        }
        if (best != null) {
            ServerAvailability.claimAttemptIfFailing(best, nowNanos);
            return useServer(best, requirement, RouteReason.LAST_RESORT);
        }
        return ServerAvailability.claimUnknownServer(view, excluded, nowNanos)
                .<RoutingDecision>map(server -> useServer(server, requirement, RouteReason.PROBE))
                .orElseGet(() -> waitOrRefuse(requirement, view, nowNanos));
    }

    /** Waits for the end of a backoff or for a new primary within a quarter of the deadline. */
    private static RoutingDecision waitOrRefuse(
            ReadRequirement requirement, GroupRoutingState view, long nowNanos) {
        long waited = requirement.waitedNanos();
        long remaining = requirement.deadlineNanos() - nowNanos;
        long allowed = (remaining + waited) / DEADLINE_DIVISOR - waited;
        if (allowed <= 0) {
            return new RoutingDecision.Unavailable(
                    ServerAvailability.retryAfterMillis(view, nowNanos));
        }
        return new RoutingDecision.WaitForPrimary(Math.min(POLL_INTERVAL_NANOS, allowed));
    }

    private static RoutingDecision useServer(
            ServerEstimate server, ReadRequirement requirement, RouteReason reason) {
        return new RoutingDecision.UseServer(
                server.server(), requirement.minimum().position(), reason);
    }
}
