package org.plantainferry.engine.freshness;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.plantainferry.api.Preconditions;
import org.plantainferry.engine.membership.DomainRepresentatives;

/**
 * Chooses the instance that asks the store for all instances of a failure domain.
 *
 * <p>All instances of a failure domain rank each other alike. The first one asks the store, and the
 * others ask the first one. One that does not answer, or knows nothing recent, is passed over for a
 * while; when an instance has passed over all before it, it asks the store itself. Times are
 * monotonic nanoseconds. Used by one thread.
 *
 * @since 0.2
 */
public final class ConfirmationSources {
    private static final long EXCLUSION_MILLIS = 4_000;

    private final String mInstance;
    private final String mFailureDomain;
    private final DomainRepresentatives mRepresentatives =
            new DomainRepresentatives("configuration", EXCLUSION_MILLIS);

    /** Creates the choice of an instance that knows no other one yet. */
    public ConfirmationSources(String instance, String failureDomain) {
        mInstance = Preconditions.notNull(instance, "instance");
        mFailureDomain = Preconditions.notNull(failureDomain, "failureDomain");
    }

    /**
     * Takes over the list of the other instances.
     *
     * @param failureDomains the failure domain of each
     */
    public void onInstances(Map<String, String> failureDomains) {
        Map<String, String> all = new HashMap<>(failureDomains);
        all.put(mInstance, mFailureDomain);
        mRepresentatives.onInstances(all);
    }

    /** Passes over an instance that did not answer, or had no recent confirmation. */
    public void exclude(String instance, long nowNanos) {
        mRepresentatives.exclude(instance, nowNanos);
    }

    /** Returns the instance to ask; empty when this one should ask the store. */
    public Optional<String> choose(long nowNanos) {
        return mRepresentatives
                .representative(mFailureDomain, nowNanos)
                .filter(speaker -> !speaker.equals(mInstance));
    }
}
