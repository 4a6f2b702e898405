package org.plantainferry.engine.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.engine.capacity.WorkKind;

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
    private static final double PROBED_FRACTION = 0.05;
    private static final double PROBE_SAFETY_FACTOR = 1.5;
    private static final double NANOS_PER_MILLI = 1e6;

    private final String mFailureDomain;
    private final ReadTimeEstimate mEstimate;

    /** Holds a candidate with the estimated time of the read there, and its cost. */
    private record Valued(ReadCandidate candidate, double readMillis, double cost) {}

    /** Creates the placement for an instance in the given failure domain. */
    public ReadPlacement(String failureDomain, ReadTimeEstimate estimate) {
        mFailureDomain = Preconditions.notNull(failureDomain, "failureDomain");
        mEstimate = Preconditions.notNull(estimate, "estimate");
    }

    /**
     * Selects the candidate with the lowest cost.
     *
     * <p>A small share of the reads goes to a server that would be preferred if it were as fast as
     * the others, and about which nothing new is known.
     *
     * @param random a uniform random number from 0 (inclusive) to 1 (exclusive), which differs
     *     between instances so that they do not probe a server at the same time
     * @return the candidate; empty when every server is excluded, leaving or known to be behind
     */
    public Optional<ReadCandidate> choose(
            Collection<ReadCandidate> candidates, ReadDemand demand, double random, long nowNanos) {
        // A leaving server is skipped even if all others are busy or behind.
        boolean canSkipLeaving =
                candidates.stream().anyMatch(candidate -> !candidate.server().draining());
        List<ReadCandidate> usable = new ArrayList<>(candidates.size());
        for (ReadCandidate candidate : candidates) {
            boolean isSkipped = canSkipLeaving && candidate.server().draining();
            if (!isSkipped
                    && !demand.excluded().contains(candidate.server().id())
                    && !isBehind(candidate, demand.required(), nowNanos)) {
                usable.add(candidate);
            }
        }
        List<Valued> valued = value(usable, demand.kind(), nowNanos);
        if (valued.isEmpty()) {
            return Optional.empty();
        }
        Valued best = valued.get(0);
        for (Valued each : valued) {
            best = each.cost() < best.cost() ? each : best;
        }
        if (!demand.mayProbe() || random >= PROBED_FRACTION) {
            return Optional.of(best.candidate());
        }
        return Optional.of(probed(valued, best, demand, nowNanos).orElse(best).candidate());
    }

    private List<Valued> value(List<ReadCandidate> usable, WorkKind kind, long nowNanos) {
        double[] readMillis = mEstimate.readMillis(usable, kind, nowNanos);
        List<Valued> valued = new ArrayList<>(usable.size());
        for (int index = 0; index < usable.size(); index++) {
            ReadCandidate candidate = usable.get(index);
            double cost = cost(candidate, readMillis[index], nowNanos);
            valued.add(new Valued(candidate, readMillis[index], cost));
        }
        return valued;
    }

    private Optional<Valued> probed(
            List<Valued> valued, Valued best, ReadDemand demand, long nowNanos) {
        double remainingMillis = (demand.objectiveNanos() - nowNanos) / NANOS_PER_MILLI;
        return valued.stream()
                .filter(each -> each.candidate().waiting() == 0)
                .filter(each -> each.candidate().room().isStale(nowNanos))
                .filter(each -> each.readMillis() * PROBE_SAFETY_FACTOR < remainingMillis)
                .filter(each -> cost(each.candidate(), best.readMillis(), nowNanos) < best.cost())
                .findFirst();
    }

    private static boolean isBehind(
            ReadCandidate candidate, Optional<LogPosition> required, long nowNanos) {
        return required.isPresent()
                && !candidate.primary()
                && candidate.health().isKnownBehind(required.get(), nowNanos);
    }

    private double cost(ReadCandidate candidate, double readMillis, long nowNanos) {
        ServerHealth health = candidate.health();
        int concurrency = mEstimate.concurrency(candidate, nowNanos);
        double queueLength = health.inFlight() + WAITING_REQUEST_WEIGHT * candidate.waiting();
        double cost = readMillis * (1 + queueLength / concurrency);
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
