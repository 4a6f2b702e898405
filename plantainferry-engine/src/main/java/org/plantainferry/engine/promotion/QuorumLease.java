package org.plantainferry.engine.promotion;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.plantainferry.api.Preconditions;

/**
 * Says whether this instance may use primaries now.
 *
 * <p>An instance that is cut off cannot know that a primary was replaced. It therefore uses
 * primaries only while it has had contact with a majority of the instances within {@link
 * #LEASE_NANOS}, itself included. Who replaces a primary tells a majority before, and waits out the
 * lease of those that it cannot tell (see {@link FenceRound}). Contacts are kept by failure domain,
 * because one instance speaks for each. Times are monotonic nanoseconds, from a clock that includes
 * suspensions. Used by one thread.
 *
 * @since 0.3
 */
public final class QuorumLease {
    /** For how long a contact counts. */
    public static final long LEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

    private final String mFailureDomain;
    private final Map<String, DomainContacts> mContacts = new HashMap<>();
    private int mInstanceCount;

    /**
     * Holds the newest contact with the instances of one failure domain.
     *
     * @param instances with how many instances there was contact
     * @param atNanos the time at or after which each of them knew of no replacement that this
     *     instance does not know
     */
    public record Contact(int instances, long atNanos) {}

    /** Creates a lease that is not held until the instances are known. */
    public QuorumLease(String failureDomain) {
        mFailureDomain = Preconditions.notNull(failureDomain, "failureDomain");
    }

    /** Takes over the number of all instances, this one included. */
    public void onInstanceCount(int instances) {
        mInstanceCount = instances;
    }

    /** Notes a contact with instances of a failure domain. */
    public void onContact(String failureDomain, Contact contact) {
        mContacts.computeIfAbsent(failureDomain, key -> new DomainContacts()).add(contact);
    }

    /** Returns the contacts to tell others of, by failure domain. */
    public Map<String, Set<Contact>> contacts() {
        Map<String, Set<Contact>> best = new HashMap<>();
        mContacts.forEach((domain, contacts) -> best.put(domain, contacts.newestAndLargest()));
        return best;
    }

    /** Returns the time until which the lease is held; it may have passed. */
    public long heldUntilNanos(long nowNanos) {
        if (mInstanceCount == 0) {
            return nowNanos;
        }
        int needed = mInstanceCount / 2 + 1;
        if (needed == 1) {
            return nowNanos + LEASE_NANOS;
        }
        long[] newestFirst =
                mContacts.values().stream()
                        .flatMapToLong(contacts -> LongStream.of(contacts.contactTimesNanos()))
                        .map(at -> nowNanos - at)
                        .sorted()
                        .toArray();
        for (long age : newestFirst) {
            if (instancesContactedSince(nowNanos - age) >= needed) {
                return nowNanos - age + LEASE_NANOS;
            }
        }
        return nowNanos;
    }

    private int instancesContactedSince(long sinceNanos) {
        int heard = 0;
        for (Map.Entry<String, DomainContacts> each : mContacts.entrySet()) {
            int instances = each.getValue().instancesSince(sinceNanos);
            boolean isOwn = each.getKey().equals(mFailureDomain);
            heard += isOwn ? Math.max(1, instances) : instances;
        }
        return heard + (mContacts.containsKey(mFailureDomain) ? 0 : 1);
    }
}
