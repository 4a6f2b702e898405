package org.plantainferry.engine.promotion;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.plantainferry.api.Preconditions;

/**
 * Decides whether this instance may use primaries.
 *
 * <p>A partitioned instance cannot learn that a primary was replaced. An instance therefore uses
 * primaries only while it has had contact with a majority of the instances, itself included, within
 * {@link #LEASE_NANOS}. The instance that replaces a primary first notifies a majority, and waits
 * for the leases of the others to expire (see {@link FenceRound}). Contacts are stored by failure
 * domain, because one instance reports for each domain. Times are monotonic nanoseconds from a
 * clock that includes suspensions. Not thread-safe.
 *
 * @since 0.3
 */
public final class QuorumLease {
    /** Time for which a contact counts. */
    public static final long LEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

    private final String mFailureDomain;
    private final Map<String, DomainContacts> mContacts = new HashMap<>();
    private int mInstanceCount;

    /**
     * Holds a contact with instances of one failure domain.
     *
     * @param instances the number of instances that were in contact
     * @param atNanos the time at or after which each of them knew of no replacement that is unknown
     *     to this instance
     */
    public record Contact(int instances, long atNanos) {
        // Written out, because a generated method is linked at run time in each process.
        @Override
        public boolean equals(Object other) {
            return other instanceof Contact that
                    && instances == that.instances
                    && atNanos == that.atNanos;
        }

        @Override
        public int hashCode() {
            int hash = instances;
            hash = 31 * hash + Long.hashCode(atNanos);
            return hash;
        }
    }

    /** Creates a lease that is not held until the number of instances is known. */
    public QuorumLease(String failureDomain) {
        mFailureDomain = Preconditions.notNull(failureDomain, "failureDomain");
    }

    /** Sets the number of all instances, this one included. */
    public void onInstanceCount(int instances) {
        mInstanceCount = instances;
    }

    /** Records a contact with instances of a failure domain. */
    public void onContact(String failureDomain, Contact contact) {
        mContacts.computeIfAbsent(failureDomain, key -> new DomainContacts()).add(contact);
    }

    /** Returns the contacts to report to other instances, by failure domain. */
    public Map<String, Set<Contact>> contacts() {
        Map<String, Set<Contact>> best = new HashMap<>();
        mContacts.forEach((domain, contacts) -> best.put(domain, contacts.newestAndLargest()));
        return best;
    }

    /** Returns the time at which the lease expires; it may be in the past. */
    public long heldUntilNanos(long nowNanos) {
        if (mInstanceCount == 0) {
            return nowNanos;
        }
        int needed = mInstanceCount / 2 + 1;
        if (needed == 1) {
            return nowNanos + LEASE_NANOS;
        }
        long[] agesNewestFirst =
                mContacts.values().stream()
                        .flatMapToLong(contacts -> LongStream.of(contacts.contactTimesNanos()))
                        .map(at -> nowNanos - at)
                        .sorted()
                        .toArray();
        for (long age : agesNewestFirst) {
            if (instancesContactedSince(nowNanos - age) >= needed) {
                return nowNanos - age + LEASE_NANOS;
            }
        }
        return nowNanos;
    }

    private int instancesContactedSince(long sinceNanos) {
        int contacted = 0;
        for (Map.Entry<String, DomainContacts> domain : mContacts.entrySet()) {
            int instances = domain.getValue().instancesSince(sinceNanos);
            boolean isOwnDomain = domain.getKey().equals(mFailureDomain);
            contacted += isOwnDomain ? Math.max(1, instances) : instances;
        }
        return contacted + (mContacts.containsKey(mFailureDomain) ? 0 : 1);
    }
}
