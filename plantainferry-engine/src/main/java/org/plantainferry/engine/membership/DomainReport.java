package org.plantainferry.engine.membership;

import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.Preconditions;

/**
 * Reports whether a failure domain reached the store.
 *
 * <p>A report that the store was not reached counts only for the configuration version of the
 * heartbeat that carries it, see {@code ConfigurationFreshness}.
 *
 * @param failureDomain the failure domain reported on
 * @param heardAgeMillis milliseconds since an instance there observed it
 * @param storeReachable whether some instance there reached the store
 * @since 0.1
 */
public record DomainReport(
        FailureDomain failureDomain, long heardAgeMillis, boolean storeReachable) {
    /** Checks the ranges. */
    public DomainReport {
        Preconditions.notNull(failureDomain, "failureDomain");
        Preconditions.condition(heardAgeMillis >= 0, "heardAgeMillis must not be negative");
    }
}
