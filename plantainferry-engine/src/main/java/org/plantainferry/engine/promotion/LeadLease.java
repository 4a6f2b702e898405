package org.plantainferry.engine.promotion;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.Preconditions;

/**
 * Says whether this instance may use primaries now.
 *
 * <p>An instance that is cut off cannot know that a primary was replaced. It therefore uses
 * primaries only while it has had contact with instances of a majority of the failure domains
 * within {@link #LEASE_NANOS}; its own one counts. Who replaces a primary tells all instances
 * before, and waits out the lease of those that it cannot tell (see {@link FenceRound}). Times are
 * monotonic nanoseconds, from a clock that includes suspensions. Used by one thread.
 *
 * @since 0.2
 */
public final class LeadLease {
    /** For how long a contact counts. */
    public static final long LEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private final String mFailureDomain;
    private final Map<String, Long> mContacts = new HashMap<>();
    private Set<String> mOtherDomains = Set.of();
    private boolean mKnowsInstances;

    /** Creates a lease that is not held until the instances are known. */
    public LeadLease(String failureDomain) {
        mFailureDomain = Preconditions.notNull(failureDomain, "failureDomain");
    }

    /** Takes over the failure domains of all instances. */
    public void onDomains(Collection<String> failureDomains) {
        Set<String> others = new HashSet<>(failureDomains);
        others.remove(mFailureDomain);
        mOtherDomains = others;
        mKnowsInstances = true;
    }

    /**
     * Notes that an instance of a failure domain has answered and knew of no replacement that this
     * instance does not know.
     *
     * @param atNanos when the answered question was sent
     */
    public void onContact(String failureDomain, long atNanos) {
        mContacts.merge(failureDomain, atNanos, (one, other) -> other - one > 0 ? other : one);
    }

    /** Returns the last contact with each failure domain. */
    public Map<String, Long> contacts() {
        return Map.copyOf(mContacts);
    }

    /** Returns the time until which the lease is held; it may have passed. */
    public long heldUntilNanos(long nowNanos) {
        if (!mKnowsInstances) {
            return nowNanos;
        }
        int needed = (mOtherDomains.size() + 1) / 2;
        if (needed == 0) {
            return nowNanos + LEASE_NANOS;
        }
        long[] newest =
                mContacts.entrySet().stream()
                        .filter(contact -> mOtherDomains.contains(contact.getKey()))
                        .mapToLong(contact -> contact.getValue() - nowNanos)
                        .sorted()
                        .toArray();
        if (newest.length < needed) {
            return nowNanos;
        }
        return nowNanos + newest[newest.length - needed] + LEASE_NANOS;
    }
}
