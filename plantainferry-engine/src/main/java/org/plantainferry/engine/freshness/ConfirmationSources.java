package org.plantainferry.engine.freshness;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.plantainferry.api.Preconditions;
import org.plantainferry.engine.membership.DomainRepresentatives;

/**
 * Chooses the instance that asks the store on behalf of all instances of a failure domain.
 *
 * <p>All instances of a failure domain rank each other identically. The first one asks the store,
 * and the others ask the first one. An instance that does not answer, or has no recent
 * confirmation, is skipped for some time; an instance that has skipped all those ranked before it
 * asks the store itself. Times are monotonic nanoseconds. Not thread-safe.
 *
 * @since 0.2
 */
public final class ConfirmationSources {
    private static final long EXCLUSION_MILLIS = 4_000;

    private final String mInstance;
    private final String mFailureDomain;
    private final DomainRepresentatives mRepresentatives =
            new DomainRepresentatives("configuration", EXCLUSION_MILLIS);

    /** Creates the sources of an instance that knows no other instance yet. */
    public ConfirmationSources(String instance, String failureDomain) {
        mInstance = Preconditions.notNull(instance, "instance");
        mFailureDomain = Preconditions.notNull(failureDomain, "failureDomain");
    }

    /**
     * Sets the other instances.
     *
     * @param failureDomains the failure domain of each other instance
     */
    public void onInstances(Map<String, String> failureDomains) {
        Map<String, String> all = new HashMap<>(failureDomains);
        all.put(mInstance, mFailureDomain);
        mRepresentatives.onInstances(all);
    }

    /** Skips an instance that did not answer, or had no recent confirmation, for some time. */
    public void exclude(String instance, long nowNanos) {
        mRepresentatives.exclude(instance, nowNanos);
    }

    /** Asks all instances again, because the store is back after an outage. */
    public void clearExclusions() {
        mRepresentatives.clearExclusions();
    }

    /** Returns the instance to ask; empty when this instance is to ask the store itself. */
    public Optional<String> choose(long nowNanos) {
        return mRepresentatives
                .representative(mFailureDomain, nowNanos)
                .filter(representative -> !representative.equals(mInstance));
    }
}
