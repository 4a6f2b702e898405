package org.plantainferry.engine.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Chooses one instance of each failure domain that speaks for the others.
 *
 * <p>All instances rank each other alike. One that did not answer is passed over for a while. Times
 * are monotonic nanoseconds. Used by one thread.
 *
 * @since 0.2
 */
public final class DomainRepresentatives {
    private final long mSubjectHash;
    private final long mExclusionNanos;
    private final Map<String, Long> mExcludedUntilNanos = new HashMap<>();
    private Map<String, String> mDomainByInstance = Map.of();

    /**
     * Creates a choice without instances.
     *
     * @param subject what is spoken about; instances rank differently for different subjects
     * @param passedOverMillis for how long an instance is passed over
     */
    public DomainRepresentatives(String subject, long passedOverMillis) {
        mSubjectHash = RendezvousScore.hash(subject);
        mExclusionNanos = TimeUnit.MILLISECONDS.toNanos(passedOverMillis);
    }

    /** Takes over the instances, with the failure domain of each. */
    public void onInstances(Map<String, String> domains) {
        mDomainByInstance = Map.copyOf(domains);
        mExcludedUntilNanos.keySet().retainAll(mDomainByInstance.keySet());
    }

    /** Passes over an instance that did not answer, or knew nothing recent. */
    public void exclude(String instance, long nowNanos) {
        mExcludedUntilNanos.put(instance, nowNanos + mExclusionNanos);
    }

    /** Notes that an instance was heard, which ends the time for which it is passed over. */
    public void onContact(String instance) {
        mExcludedUntilNanos.remove(instance);
    }

    /** Returns the failure domains that have instances. */
    public Set<String> domains() {
        return new HashSet<>(mDomainByInstance.values());
    }

    /** Returns the instance that ranks first in a domain; empty when all were passed over. */
    public Optional<String> representative(String domain, long nowNanos) {
        String best = null;
        long bestScore = 0;
        for (Map.Entry<String, String> each : mDomainByInstance.entrySet()) {
            if (!each.getValue().equals(domain) || isExcluded(each.getKey(), nowNanos)) {
                continue;
            }
            long score = RendezvousScore.score(RendezvousScore.hash(each.getKey()), mSubjectHash);
            if (best == null || score > bestScore) {
                best = each.getKey();
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
