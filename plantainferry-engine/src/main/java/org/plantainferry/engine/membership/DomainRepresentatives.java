package org.plantainferry.engine.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Selects one instance of each failure domain as the representative that answers for the domain.
 *
 * <p>All instances compute the same ranking. An instance that does not answer is excluded for a
 * limited time. Times are monotonic nanoseconds. Not thread-safe.
 *
 * @since 0.2
 */
public final class DomainRepresentatives {
    private final long mSubjectHash;
    private final long mExclusionNanos;
    private final Map<String, Long> mExcludedUntilNanos = new HashMap<>();
    private Map<String, List<String>> mRankingByDomain = Map.of();

    /**
     * Creates a selection without instances.
     *
     * @param subject the subject of the requests; each subject has its own ranking of the instances
     * @param exclusionMillis how long an instance that did not answer is excluded, in milliseconds
     */
    public DomainRepresentatives(String subject, long exclusionMillis) {
        mSubjectHash = RendezvousScore.hash(subject);
        mExclusionNanos = TimeUnit.MILLISECONDS.toNanos(exclusionMillis);
    }

    /**
     * Replaces the known instances; {@code domains} maps each instance to its failure domain.
     *
     * <p>The instances are ranked here, because {@link #representative} is called several times a
     * second and its cost must not grow with their number.
     */
    public void onInstances(Map<String, String> domains) {
        Map<String, Long> scores = new HashMap<>();
        Map<String, List<String>> rankings = new HashMap<>();
        domains.forEach(
                (instance, domain) -> {
                    scores.put(
                            instance,
                            RendezvousScore.score(RendezvousScore.hash(instance), mSubjectHash));
                    rankings.computeIfAbsent(domain, key -> new ArrayList<>()).add(instance);
                });
        rankings.values()
                .forEach(
                        ranking ->
                                ranking.sort(
                                        (first, second) ->
                                                Long.compare(
                                                        scores.get(second), scores.get(first))));
        mRankingByDomain = rankings;
        mExcludedUntilNanos.keySet().retainAll(domains.keySet());
    }

    /** Excludes an instance that did not answer or had no recent information. */
    public void exclude(String instance, long nowNanos) {
        mExcludedUntilNanos.put(instance, nowNanos + mExclusionNanos);
    }

    /** Records a message from an instance, which ends its exclusion. */
    public void onContact(String instance) {
        mExcludedUntilNanos.remove(instance);
    }

    /** Ends all exclusions, because what caused them may be over. */
    public void clearExclusions() {
        mExcludedUntilNanos.clear();
    }

    /** Returns the failure domains that have at least one instance. */
    public Set<String> domains() {
        return Set.copyOf(mRankingByDomain.keySet());
    }

    /**
     * Returns the highest-ranked instance of a domain; empty when the domain has no instance that
     * is not excluded.
     */
    public Optional<String> representative(String domain, long nowNanos) {
        for (String instance : mRankingByDomain.getOrDefault(domain, List.of())) {
            if (!isExcluded(instance, nowNanos)) {
                return Optional.of(instance);
            }
        }
        return Optional.empty();
    }

    private boolean isExcluded(String instance, long nowNanos) {
        Long until = mExcludedUntilNanos.get(instance);
        return until != null && nowNanos - until < 0;
    }
}
