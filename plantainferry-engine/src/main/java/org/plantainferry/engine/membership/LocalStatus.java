package org.plantainferry.engine.membership;

import java.util.List;
import java.util.Optional;

/**
 * Holds what an instance reports about itself in a heartbeat, apart from its membership.
 *
 * @param configurationVersion the version in force on this instance
 * @param confirmationAgeMillis milliseconds since the store confirmed that version, directly or
 *     through peers; empty when it was never confirmed
 * @param storeReachable whether the latest attempt of this instance to reach the store succeeded
 * @param groupTerms terms that changed recently
 * @param domains the known reports on whether failure domains reach the store
 * @since 0.1
 */
public record LocalStatus(
        long configurationVersion,
        Optional<Long> confirmationAgeMillis,
        boolean storeReachable,
        List<GroupTerm> groupTerms,
        List<DomainReport> domains) {
    /** Copies the lists. */
    public LocalStatus {
        groupTerms = List.copyOf(groupTerms);
        domains = List.copyOf(domains);
    }
}
