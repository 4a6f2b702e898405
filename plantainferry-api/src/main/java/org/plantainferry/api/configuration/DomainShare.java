package org.plantainferry.api.configuration;

import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.Preconditions;

/**
 * Describes a failure domain and its share of every workspace's rate and burst.
 *
 * @param name the failure domain
 * @param shareSlots the number of equal shares that its instances divide among themselves
 * @since 0.1
 */
public record DomainShare(FailureDomain name, int shareSlots) {
    /** Checks that nothing is missing and that there is at least one share slot. */
    public DomainShare {
        Preconditions.notNull(name, "failure domain name");
        Preconditions.condition(
                shareSlots >= 1, "shareSlots of failure domain " + name + " must be at least 1");
    }
}
