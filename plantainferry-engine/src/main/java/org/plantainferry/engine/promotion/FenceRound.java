package org.plantainferry.engine.promotion;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.Preconditions;

/**
 * Decides when no instance uses a primary any more, so that another server may be ordered to lead.
 *
 * <p>An instance that has confirmed the notice uses the primary no more. One that has not confirmed
 * it loses its {@link LeadLease} when all whom it could ask have confirmed and a lease has passed
 * since. Without a majority of the failure domains this instance may itself be cut off, and the
 * replacement is given up. Times are monotonic nanoseconds. Used by one thread.
 *
 * @since 0.2
 */
public final class FenceRound {
    /** Says what the replacing instance does next. */
    public enum Decision {
        /** Goes on telling the instances that have not confirmed. */
        WAIT,
        /** Orders another server to lead. */
        ORDER,
        /** Gives the replacement up. */
        GIVE_UP
    }

    private static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long LONGEST_NANOS = TimeUnit.MILLISECONDS.toNanos(2_200);

    private final Map<String, String> mDomains;
    private final String mFailureDomain;
    private final long mStartedNanos;
    private final Set<String> mConfirmed = new HashSet<>();
    private long mLastConfirmedNanos;

    /**
     * Begins a round.
     *
     * @param domains the failure domain of each instance besides this one
     * @param failureDomain where this instance runs
     */
    public FenceRound(Map<String, String> domains, String failureDomain, long nowNanos) {
        mDomains = Map.copyOf(domains);
        mFailureDomain = Preconditions.notNull(failureDomain, "failureDomain");
        mStartedNanos = nowNanos;
        mLastConfirmedNanos = nowNanos;
    }

    /** Notes that an instance uses the primary no more; a second confirmation changes nothing. */
    public void onConfirmed(String instance, long nowNanos) {
        if (mDomains.containsKey(instance) && mConfirmed.add(instance)) {
            mLastConfirmedNanos = nowNanos;
        }
    }

    /** Returns the instances that have not confirmed. */
    public Set<String> missing() {
        Set<String> missing = new HashSet<>(mDomains.keySet());
        missing.removeAll(mConfirmed);
        return missing;
    }

    /** Returns what to do now. */
    public Decision decide(long nowNanos) {
        if (mConfirmed.size() == mDomains.size()) {
            return Decision.ORDER;
        }
        boolean isLeaseOver =
                nowNanos - mLastConfirmedNanos >= LeadLease.LEASE_NANOS + MARGIN_NANOS;
        if (isLeaseOver && hasMajority()) {
            return Decision.ORDER;
        }
        return nowNanos - mStartedNanos >= LONGEST_NANOS ? Decision.GIVE_UP : Decision.WAIT;
    }

    private boolean hasMajority() {
        Set<String> all = new HashSet<>(mDomains.values());
        all.add(mFailureDomain);
        Set<String> reached = new HashSet<>();
        mConfirmed.forEach(instance -> reached.add(mDomains.get(instance)));
        reached.add(mFailureDomain);
        return reached.size() * 2 > all.size();
    }
}
