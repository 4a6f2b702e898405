package org.plantainferry.engine.placement;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.session.LogPosition;

/**
 * Selects the server of a read by its estimated cost.
 *
 * <p>Servers in the same failure domain, with low latency and an idle connection are preferred. A
 * server that should be avoided is chosen only when there is no other. A replica that is known to
 * be behind the required position is never chosen, and a leaving server is not chosen while the
 * group has others.
 *
 * @since 0.2
 */
public final class ReadPlacement {
    private static final double REMOTE_COST_MILLIS = 6;
    private static final double PRIMARY_COST_MILLIS = 12;
    // A connection that displaces no other also serves later reads, so only a fraction of its cost
    // counts.
    private static final double CAN_OPEN_COST_FRACTION = 0.3;
    // An instance has few connections to a non-preferred replica, so a displaced one is soon needed
    // again.
    private static final double NON_PREFERRED_OPENING_FACTOR = 2;
    private static final double NON_PREFERRED_COST_MILLIS = 3;
    private static final double WAITING_REQUEST_WEIGHT = 2;
    private static final double AVOIDED_COST_MILLIS = 10_000;

    private final String mFailureDomain;

    /** Creates the placement for an instance in the given failure domain. */
    public ReadPlacement(String failureDomain) {
        mFailureDomain = Preconditions.notNull(failureDomain, "failureDomain");
    }

    /**
     * Selects the candidate with the lowest cost.
     *
     * @param required the log position that the read requires; empty when data of any age is
     *     acceptable
     * @param excluded the ids of servers that have already refused this read
     * @return the candidate; empty when every server is excluded, leaving or known to be behind
     */
    public Optional<ReadCandidate> choose(
            Collection<ReadCandidate> candidates,
            Optional<LogPosition> required,
            Set<String> excluded,
            long nowNanos) {
        // A leaving server is skipped even if all others are busy or behind.
        boolean canSkipLeaving =
                candidates.stream().anyMatch(candidate -> !candidate.server().draining());
        ReadCandidate best = null;
        double bestCost = Double.MAX_VALUE;
        for (ReadCandidate candidate : candidates) {
            boolean isSkipped = canSkipLeaving && candidate.server().draining();
            if (isSkipped
                    || excluded.contains(candidate.server().id())
                    || isBehind(candidate, required, nowNanos)) {
                continue;
            }
            double cost = cost(candidate, nowNanos);
            if (cost < bestCost) {
                best = candidate;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean isBehind(
            ReadCandidate candidate, Optional<LogPosition> required, long nowNanos) {
        return required.isPresent()
                && !candidate.primary()
                && candidate.health().isKnownBehind(required.get(), nowNanos);
    }

    private double cost(ReadCandidate candidate, long nowNanos) {
        ServerHealth health = candidate.health();
        int slots = Math.max(1, candidate.server().slots());
        double queueLength = health.inFlight() + WAITING_REQUEST_WEIGHT * candidate.waiting();
        double cost = health.latencyMillis() * (1 + queueLength / slots);
        cost += mFailureDomain.equals(candidate.server().failureDomain()) ? 0 : REMOTE_COST_MILLIS;
        cost += candidate.primary() ? PRIMARY_COST_MILLIS : 0;
        boolean isNonPreferredReplica = !candidate.preferredReplica() && !candidate.primary();
        cost += isNonPreferredReplica ? NON_PREFERRED_COST_MILLIS : 0;
        cost += openingCost(candidate, isNonPreferredReplica);
        return cost + (health.isAvoided(nowNanos) ? AVOIDED_COST_MILLIS : 0);
    }

    private static double openingCost(ReadCandidate candidate, boolean isNonPreferredReplica) {
        double openingMillis = candidate.health().openingMillis();
        return switch (candidate.availability()) {
            case IDLE -> 0;
            case CAN_OPEN -> openingMillis * CAN_OPEN_COST_FRACTION;
            case AT_LIMIT ->
                    openingMillis * (isNonPreferredReplica ? NON_PREFERRED_OPENING_FACTOR : 1);
        };
    }
}
