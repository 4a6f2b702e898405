package org.plantainferry.engine.placement;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.session.LogPosition;

/**
 * Chooses the server of a read.
 *
 * <p>It prefers servers that are near, fast and connected. A server that should be avoided is
 * chosen only when no other is left. A replica that is known to lack the required position is never
 * chosen, and neither is a leaving server while the group has others.
 *
 * @since 0.2
 */
public final class ReadPlacement {
    private static final double REMOTE_COST_MILLIS = 6;
    private static final double PRIMARY_COST_MILLIS = 12;
    // A connection that is opened into free room also serves the reads after this one.
    private static final double CAN_OPEN_COST_FRACTION = 0.3;
    // The few connections to a server that is not the home replica are soon needed again.
    private static final double NON_PREFERRED_OPENING_FACTOR = 2;
    private static final double NON_PREFERRED_COST_MILLIS = 3;
    private static final double WAITING_REQUEST_WEIGHT = 2;
    private static final double AVOIDED_COST_MILLIS = 10_000;

    private final String mFailureDomain;

    /** Creates the placement of an instance in a failure domain. */
    public ReadPlacement(String failureDomain) {
        mFailureDomain = Preconditions.notNull(failureDomain, "failureDomain");
    }

    /**
     * Chooses the cheapest candidate.
     *
     * @param required the position that the read must see; empty where any data will do
     * @param excluded ids of servers that already refused this read
     * @return empty when each server is excluded or known to be behind
     */
    public Optional<ReadCandidate> choose(
            Collection<ReadCandidate> candidates,
            Optional<LogPosition> required,
            Set<String> excluded,
            long nowNanos) {
        // A leaving server is left alone even while all others are busy or behind.
        boolean canLeaveAlone =
                candidates.stream().anyMatch(candidate -> !candidate.server().draining());
        ReadCandidate best = null;
        double bestCost = Double.MAX_VALUE;
        for (ReadCandidate candidate : candidates) {
            boolean isLeftAlone = canLeaveAlone && candidate.server().draining();
            if (isLeftAlone
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
        double ahead = health.inFlight() + WAITING_REQUEST_WEIGHT * candidate.waiting();
        double cost = health.latencyMillis() * (1 + ahead / slots);
        cost += mFailureDomain.equals(candidate.server().failureDomain()) ? 0 : REMOTE_COST_MILLIS;
        cost += candidate.primary() ? PRIMARY_COST_MILLIS : 0;
        boolean isForeign = !candidate.preferredReplica() && !candidate.primary();
        cost += isForeign ? NON_PREFERRED_COST_MILLIS : 0;
        cost += openingCost(candidate, isForeign);
        return cost + (health.isAvoided(nowNanos) ? AVOIDED_COST_MILLIS : 0);
    }

    private static double openingCost(ReadCandidate candidate, boolean isForeign) {
        double opening = candidate.health().openingMillis();
        return switch (candidate.availability()) {
            case IDLE -> 0;
            case CAN_OPEN -> opening * CAN_OPEN_COST_FRACTION;
            case AT_LIMIT -> opening * (isForeign ? NON_PREFERRED_OPENING_FACTOR : 1);
        };
    }
}
