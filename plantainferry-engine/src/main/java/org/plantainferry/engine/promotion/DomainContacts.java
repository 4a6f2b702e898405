package org.plantainferry.engine.promotion;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Stores the recent contacts with the instances of one failure domain.
 *
 * <p>The instance that reports for a domain may briefly have contact with only a part of it, so a
 * newer contact with fewer instances does not replace an older one with more. Times are monotonic
 * nanoseconds. Not thread-safe.
 *
 * @since 0.3
 */
final class DomainContacts {
    private static final int MAX_CONTACTS = 24;

    private final Deque<QuorumLease.Contact> mContacts = new ArrayDeque<>();

    /** Adds a contact, and removes those that are older than the lease. */
    void add(QuorumLease.Contact contact) {
        mContacts.addLast(contact);
        mContacts.removeIf(
                previous -> contact.atNanos() - previous.atNanos() > QuorumLease.LEASE_NANOS);
        if (mContacts.size() > MAX_CONTACTS) {
            mContacts.removeFirst();
        }
    }

    /** Returns the newest contact and the one with the most instances, for other instances. */
    Set<QuorumLease.Contact> newestAndLargest() {
        Set<QuorumLease.Contact> best = new LinkedHashSet<>();
        mContacts.stream()
                .max(Comparator.comparingLong(QuorumLease.Contact::atNanos))
                .ifPresent(best::add);
        mContacts.stream()
                .max(
                        Comparator.comparingInt(QuorumLease.Contact::instances)
                                .thenComparingLong(QuorumLease.Contact::atNanos))
                .ifPresent(best::add);
        return best;
    }

    /** Returns the times of the contacts. */
    long[] contactTimesNanos() {
        return mContacts.stream().mapToLong(QuorumLease.Contact::atNanos).toArray();
    }

    /** Returns the largest number of instances in one contact at or after {@code sinceNanos}. */
    int instancesSince(long sinceNanos) {
        return mContacts.stream()
                .filter(contact -> contact.atNanos() - sinceNanos >= 0)
                .mapToInt(QuorumLease.Contact::instances)
                .max()
                .orElse(0);
    }
}
