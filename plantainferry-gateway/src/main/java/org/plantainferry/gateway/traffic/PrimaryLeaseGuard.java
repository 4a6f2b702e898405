package org.plantainferry.gateway.traffic;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Decides whether this instance may use a server as the primary of its group, and knows the groups
 * whose primary is lost and cannot be replaced for now.
 *
 * <p>The control plane publishes the state of its leases. Safe to call from any thread.
 *
 * @since 0.2
 */
public final class PrimaryLeaseGuard {
    /** The state when the platform itself fences former primaries, so that no lease is needed. */
    private static final State NOT_REQUIRED = new State(false, 0, 0, Set.of(), Map.of());

    // Replacements of a lost primary are tried again within this time, also in a large fleet.
    private static final long LOST_NANOS = TimeUnit.SECONDS.toNanos(15);

    private final LongSupplier mClock;
    private final Map<String, Long> mLostUntilNanos = new ConcurrentHashMap<>();
    private volatile State mState = NOT_REQUIRED;

    private record State(
            boolean leaseRequired,
            long quorumLeaseEndNanos,
            long storeLeaseEndNanos,
            Set<String> claimedServices,
            Map<String, String> allowedPrimaries) {}

    /**
     * Creates a guard that permits every server until the first {@link #publish}.
     *
     * @param clock time that includes suspensions of the machine, in nanoseconds
     */
    public PrimaryLeaseGuard(LongSupplier clock) {
        mClock = clock;
    }

    /**
     * Publishes the state of the leases.
     *
     * @param quorumLeaseEndNanos when the lease by contact with a majority of the instances ends
     * @param storeLeaseEndNanos when the lease by the absence of a claim at the store ends
     * @param claimedServices the services with a claim at the store, to which the store lease does
     *     not apply
     * @param allowedPrimaries by service, the only server that may be used as its primary; the
     *     empty text when none may
     */
    public void publish(
            long quorumLeaseEndNanos,
            long storeLeaseEndNanos,
            Set<String> claimedServices,
            Map<String, String> allowedPrimaries) {
        mState =
                new State(
                        true,
                        quorumLeaseEndNanos,
                        storeLeaseEndNanos,
                        Set.copyOf(claimedServices),
                        Map.copyOf(allowedPrimaries));
    }

    /** Records that the primary of a service is lost and that no replica may be promoted now. */
    public void onPrimaryLost(String service) {
        mLostUntilNanos.put(service, mClock.getAsLong() + LOST_NANOS);
    }

    /** Records that a replica may be promoted in place of a lost primary. */
    public void onPrimaryReplaceable(String service) {
        mLostUntilNanos.remove(service);
    }

    /** Returns whether the primary of a service is lost and no replica may be promoted now. */
    public boolean isPrimaryLost(String service) {
        Long untilNanos = mLostUntilNanos.get(service);
        return untilNanos != null && untilNanos - mClock.getAsLong() > 0;
    }

    /** Returns whether this instance currently holds a lease to use the primary of a service. */
    public boolean isLeaseHeld(String service) {
        State state = mState;
        if (!state.leaseRequired) {
            return true;
        }
        long now = mClock.getAsLong();
        boolean isHeldByStore =
                state.storeLeaseEndNanos - now > 0 && !state.claimedServices.contains(service);
        return state.quorumLeaseEndNanos - now > 0 || isHeldByStore;
    }

    /** Returns whether a server may currently be used as the primary of a service. */
    public boolean mayUseAsPrimary(String service, String server) {
        String allowed = mState.allowedPrimaries.get(service);
        return isLeaseHeld(service) && (allowed == null || allowed.equals(server));
    }
}
