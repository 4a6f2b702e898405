package org.plantainferry.engine.freshness;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.Preconditions;
import org.plantainferry.engine.membership.RendezvousScore;

/**
 * Chooses the instance that asks the store for all instances of a failure domain.
 *
 * <p>All instances of a failure domain rank each other alike. The first one asks the store, and the
 * others ask the first one. One that does not answer, or knows nothing recent, is passed over for a
 * while; when an instance has passed over all before it, it asks the store itself. Times are
 * monotonic nanoseconds. Used by one thread.
 *
 * @since 0.2
 */
public final class ConfirmationSources {
    private static final long PASSED_OVER_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final long KEY_HASH = RendezvousScore.hash("configuration");

    private final String mInstance;
    private final String mFailureDomain;
    private final Map<String, Long> mPassedOverUntil = new HashMap<>();
    private Set<String> mNeighbours = Set.of();

    /** Creates the choice of an instance that knows no other one yet. */
    public ConfirmationSources(String instance, String failureDomain) {
        mInstance = Preconditions.notNull(instance, "instance");
        mFailureDomain = Preconditions.notNull(failureDomain, "failureDomain");
    }

    /**
     * Takes over the list of the other instances.
     *
     * @param failureDomains the failure domain of each
     */
    public void onInstances(Map<String, String> failureDomains) {
        Set<String> neighbours = new HashSet<>();
        failureDomains.forEach(
                (instance, domain) -> {
                    if (domain.equals(mFailureDomain)) {
                        neighbours.add(instance);
                    }
                });
        mNeighbours = neighbours;
        mPassedOverUntil.keySet().retainAll(neighbours);
    }

    /** Passes over an instance that did not answer, or had no recent confirmation. */
    public void passOver(String instance, long nowNanos) {
        mPassedOverUntil.put(instance, nowNanos + PASSED_OVER_NANOS);
    }

    /** Returns the instance to ask; empty when this one should ask the store. */
    public Optional<String> choose(long nowNanos) {
        String best = mInstance;
        long bestScore = score(mInstance);
        for (String neighbour : mNeighbours) {
            long score = score(neighbour);
            if (score > bestScore && !isPassedOver(neighbour, nowNanos)) {
                best = neighbour;
                bestScore = score;
            }
        }
        return best.equals(mInstance) ? Optional.empty() : Optional.of(best);
    }

    private static long score(String instance) {
        return RendezvousScore.score(RendezvousScore.hash(instance), KEY_HASH);
    }

    private boolean isPassedOver(String instance, long nowNanos) {
        Long until = mPassedOverUntil.get(instance);
        return until != null && nowNanos - until < 0;
    }
}
