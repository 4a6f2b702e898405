package org.plantainferry.engine.routing;

import java.util.Optional;
import java.util.Set;
import org.plantainferry.api.ServerId;

/**
 * Sends writes to the primary, or holds them while a replacement is likely to end in time.
 *
 * <p>One router serves one group, since it measures how long the group has had no primary.
 *
 * @since 0.1
 */
public final class WriteRouter {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** A waiting write asks again after this time, unless a primary is learned before. */
    private static final long POLL_NANOS = 25 * NANOS_PER_MILLI;

    /** The least time that a replacement is assumed to take on once it is overdue. */
    private static final long OVERDUE_NANOS = 250 * NANOS_PER_MILLI;

    /** After this time without a primary (the aim's maximum) writes no longer wait. */
    private static final long MAXIMUM_GAP_NANOS = 5_000 * NANOS_PER_MILLI;

    /** Without a write for this time, the next one that finds no primary begins a new gap. */
    private static final long FORGET_GAP_NANOS = 2_000 * NANOS_PER_MILLI;

    private static final long LONG_OUTAGE_RETRY_MILLIS = 1_000;

    /** Part of the deadline that a write may wait for a primary. */
    private static final int WAIT_DIVISOR = 2;

    private boolean mAbsent;
    private long mAbsentSinceNanos;
    private long mAskedAtNanos;

    /** Creates a router for a group. */
    public WriteRouter() {}

    /**
     * Returns what to do with a write now.
     *
     * <p>A write waits for at most half of its deadline, and only when the primary is expected
     * within half of the time that is left; so no refusal comes close to the deadline.
     *
     * @param excluded servers that refused this write
     */
    public RoutingDecision choose(
            WriteRequirement requirement,
            GroupRoutingState view,
            Set<ServerId> excluded,
            long nowNanos) {
        view.learnPrimary(requirement.minimumTerm(), Optional.empty());
        Optional<ServerEstimate> primary =
                Availability.usablePrimary(view, requirement.minimumTerm(), excluded, nowNanos);
        long absent = absentNanos(primary, nowNanos);
        long remaining = requirement.deadlineNanos() - nowNanos;
        long expected = Math.max(OVERDUE_NANOS, Availability.USUAL_REPLACEMENT_NANOS - absent);
        if (primary.isPresent() && remaining > 0) {
            Availability.claimIfFailing(primary.get(), nowNanos);
            return new RoutingDecision.UseServer(primary.get().server(), 0, RouteReason.PRIMARY);
        }
        if (absent > MAXIMUM_GAP_NANOS) {
            return new RoutingDecision.Unavailable(LONG_OUTAGE_RETRY_MILLIS);
        }
        long waited = requirement.waitedNanos();
        long allowed = (remaining + waited) / WAIT_DIVISOR - waited;
        if (allowed <= 0 || expected > remaining / 2) {
            return new RoutingDecision.Unavailable(expected / NANOS_PER_MILLI);
        }
        return new RoutingDecision.WaitForPrimary(Math.min(POLL_NANOS, allowed));
    }

    private long absentNanos(Optional<ServerEstimate> primary, long nowNanos) {
        boolean forgotten = nowNanos - mAskedAtNanos > FORGET_GAP_NANOS;
        mAskedAtNanos = nowNanos;
        if (primary.filter(server -> server.failures() == 0).isPresent()) {
            mAbsent = false;
            return 0;
        }
        if (!mAbsent || forgotten) {
            mAbsent = true;
            mAbsentSinceNanos = nowNanos;
        }
        return nowNanos - mAbsentSinceNanos;
    }
}
