package org.plantainferry.engine.promotion;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Remembers the recent contacts with the instances of one failure domain.
 *
 * <p>Those who speak for a domain may hear only a part of it for a moment, so a newer contact with
 * fewer instances does not replace an older one with more. Times are monotonic nanoseconds. Used by
 * one thread.
 *
 * @since 0.3
 */
final class DomainContacts {
    private static final int MAX_CONTACTS = 24;

    private final Deque<QuorumLease.Contact> mContacts = new ArrayDeque<>();

    /** Notes a contact, and forgets those that are too old to count. */
    void add(QuorumLease.Contact contact) {
        mContacts.addLast(contact);
        mContacts.removeIf(each -> contact.atNanos() - each.atNanos() > QuorumLease.LEASE_NANOS);
        if (mContacts.size() > MAX_CONTACTS) {
            mContacts.removeFirst();
        }
    }

    /** Returns the contacts that another instance needs to know: the newest and the largest. */
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

    /** Returns with how many instances there was contact at or after a time. */
    int instancesSince(long sinceNanos) {
        return mContacts.stream()
                .filter(each -> each.atNanos() - sinceNanos >= 0)
                .mapToInt(QuorumLease.Contact::instances)
                .max()
                .orElse(0);
    }
}
