package org.plantainferry.engine.membership;

import java.util.List;
import java.util.Optional;

/**
 * Holds what an instance states about itself in a heartbeat, besides its membership.
 *
 * @param configurationVersion the version in force here
 * @param confirmationAgeMillis milliseconds since the store confirmed that version, directly or
 *     through peers; empty when it never did
 * @param storeReachable whether this instance reached the store at its latest attempt
 * @param groupTerms terms that changed lately
 * @param domains what is known of the failure domains' contact with the store
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
