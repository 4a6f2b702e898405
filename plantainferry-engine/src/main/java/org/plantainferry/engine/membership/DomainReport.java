package org.plantainferry.engine.membership;

import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.Preconditions;

/**
 * Reports whether a failure domain reached the store.
 *
 * <p>A report that the store was not reached applies only to the configuration version of the
 * heartbeat that carries it; see {@code ConfigurationFreshness}.
 *
 * @param failureDomain the failure domain that the report is about
 * @param heardAgeMillis milliseconds since an instance of that domain made the observation
 * @param storeReachable whether any instance of that domain reached the store
 * @since 0.1
 */
public record DomainReport(
        FailureDomain failureDomain, long heardAgeMillis, boolean storeReachable) {
    /** Validates the components. */
    public DomainReport {
        Preconditions.notNull(failureDomain, "failureDomain");
        Preconditions.condition(heardAgeMillis >= 0, "heardAgeMillis must not be negative");
    }
}
