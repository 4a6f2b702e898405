package org.plantainferry.gateway.traffic;

import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Tells traffic whether a server may be used as the primary of its group.
 *
 * <p>Control publishes what it knows; any thread may ask.
 *
 * @since 0.2
 */
public final class LeadGuard {
    /** Where the platform itself takes the lead from the former primary, nothing is guarded. */
    private static final State OPEN = new State(false, 0, Map.of());

    private final LongSupplier mClock;
    private volatile State mState = OPEN;

    private record State(boolean guards, long leaseUntilNanos, Map<String, String> fenced) {}

    /**
     * Creates a guard that lets everything pass until the first {@link #publish}.
     *
     * @param clock time that includes suspensions of the machine, in nanoseconds
     */
    public LeadGuard(LongSupplier clock) {
        mClock = clock;
    }

    /**
     * Publishes what control knows.
     *
     * @param leaseUntilNanos until when primaries may be used at all
     * @param fenced by service, the server that must not be used as its primary
     */
    public void publish(long leaseUntilNanos, Map<String, String> fenced) {
        mState = new State(true, leaseUntilNanos, Map.copyOf(fenced));
    }

    /** Returns whether this instance may use primaries at all; it may not while it is cut off. */
    public boolean isHeld() {
        State state = mState;
        return !state.guards || state.leaseUntilNanos - mClock.getAsLong() > 0;
    }

    /** Returns whether a server may be used as the primary of a service now. */
    public boolean mayUse(String service, String server) {
        State state = mState;
        return isHeld() && !server.equals(state.fenced.get(service));
    }
}
