package org.plantainferry.gateway.traffic;

import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Tells traffic whether a server may be used as the primary of its group.
 *
 * <p>Control publishes what it knows; any thread may ask.
 *
 * @since 0.2
 */
public final class PrimaryLeaseGuard {
    /** Where the platform itself takes the lead from the former primary, nothing is guarded. */
    private static final State NOT_REQUIRED = new State(false, 0, 0, Set.of(), Map.of());

    private final LongSupplier mClock;
    private volatile State mState = NOT_REQUIRED;

    private record State(
            boolean leaseRequired,
            long quorumLeaseEndNanos,
            long storeLeaseEndNanos,
            Set<String> claimedServices,
            Map<String, String> allowedPrimaries) {}

    /**
     * Creates a guard that lets everything pass until the first {@link #publish}.
     *
     * @param clock time that includes suspensions of the machine, in nanoseconds
     */
    public PrimaryLeaseGuard(LongSupplier clock) {
        mClock = clock;
    }

    /**
     * Publishes what control knows.
     *
     * @param majorityUntilNanos until when primaries may be used by contact with a majority
     * @param storeUntilNanos until when they may be used because the store showed no claim
     * @param claimed the services that had a claim at the store
     * @param onlyPrimaries by service, the only server that may be used as its primary; empty when
     *     none may
     */
    public void publish(
            long majorityUntilNanos,
            long storeUntilNanos,
            Set<String> claimed,
            Map<String, String> onlyPrimaries) {
        mState =
                new State(
                        true,
                        majorityUntilNanos,
                        storeUntilNanos,
                        Set.copyOf(claimed),
                        Map.copyOf(onlyPrimaries));
    }

    /** Returns whether this instance may use the primary of a service at all. */
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

    /** Returns whether a server may be used as the primary of a service now. */
    public boolean mayUseAsPrimary(String service, String server) {
        String only = mState.allowedPrimaries.get(service);
        return isLeaseHeld(service) && (only == null || only.equals(server));
    }
}
