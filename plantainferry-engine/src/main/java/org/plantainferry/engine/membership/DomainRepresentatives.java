package org.plantainferry.engine.membership;

import java.util.HashMap;
import java.util.HashSet;
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
    private Map<String, String> mDomainByInstance = Map.of();

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

    /** Replaces the known instances; {@code domains} maps each instance to its failure domain. */
    public void onInstances(Map<String, String> domains) {
        mDomainByInstance = Map.copyOf(domains);
        mExcludedUntilNanos.keySet().retainAll(mDomainByInstance.keySet());
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
        return new HashSet<>(mDomainByInstance.values());
    }

    /**
     * Returns the highest-ranked instance of a domain; empty when the domain has no instance that
     * is not excluded.
     */
    public Optional<String> representative(String domain, long nowNanos) {
        String best = null;
        long bestScore = 0;
        for (Map.Entry<String, String> entry : mDomainByInstance.entrySet()) {
            if (!entry.getValue().equals(domain) || isExcluded(entry.getKey(), nowNanos)) {
                continue;
            }
            long score = RendezvousScore.score(RendezvousScore.hash(entry.getKey()), mSubjectHash);
            if (best == null || score > bestScore) {
                best = entry.getKey();
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean isExcluded(String instance, long nowNanos) {
        Long until = mExcludedUntilNanos.get(instance);
        return until != null && nowNanos - until < 0;
    }
}
