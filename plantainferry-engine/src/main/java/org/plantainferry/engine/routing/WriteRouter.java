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

    private static final long LONG_OUTAGE_RETRY_MILLIS = 1_000;

    private boolean mAbsent;
    private long mAbsentSinceNanos;

    /** Creates a router for a group. */
    public WriteRouter() {}

    /**
     * Returns what to do with a write now.
     *
     * <p>A write waits only when the primary is expected within half of the remaining time, so that
     * a refusal never comes close to the deadline.
     *
     * @param minimumTerm the term of the session token; 0 for none
     * @param excluded servers that refused this write
     * @param deadlineNanos the monotonic time at which the caller stops waiting
     */
    public RoutingDecision choose(
            GroupView view,
            long minimumTerm,
            Set<ServerId> excluded,
            long deadlineNanos,
            long nowNanos) {
        Optional<ServerEstimate> primary =
                Availability.usablePrimary(view, minimumTerm, excluded, nowNanos);
        if (primary.isPresent()) {
            if (primary.get().failures() == 0) {
                mAbsent = false;
            }
            Availability.claimIfFailing(primary.get(), nowNanos);
            return new RoutingDecision.UseServer(primary.get().server(), 0, RouteReason.PRIMARY);
        }
        if (!mAbsent) {
            mAbsent = true;
            mAbsentSinceNanos = nowNanos;
        }
        long absent = nowNanos - mAbsentSinceNanos;
        if (absent > MAXIMUM_GAP_NANOS) {
            return new RoutingDecision.Unavailable(LONG_OUTAGE_RETRY_MILLIS);
        }
        long expected = Math.max(OVERDUE_NANOS, Availability.USUAL_REPLACEMENT_NANOS - absent);
        if (expected > (deadlineNanos - nowNanos) / 2) {
            return new RoutingDecision.Unavailable(expected / NANOS_PER_MILLI);
        }
        return new RoutingDecision.WaitForPrimary(POLL_NANOS);
    }
}
