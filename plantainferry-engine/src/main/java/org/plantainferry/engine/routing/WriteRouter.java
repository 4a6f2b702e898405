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
    private static final long POLL_INTERVAL_NANOS = 25 * NANOS_PER_MILLI;

    /** The least time that a replacement is assumed to take on once it is overdue. */
    private static final long OVERDUE_REPLACEMENT_NANOS = 250 * NANOS_PER_MILLI;

    /** After this time without a primary (the aim's maximum) writes no longer wait. */
    private static final long MAXIMUM_ABSENCE_NANOS = 5_000 * NANOS_PER_MILLI;

    /** Without a write for this time, the next one that finds no primary begins a new gap. */
    private static final long ABSENCE_EXPIRY_NANOS = 2_000 * NANOS_PER_MILLI;

    private static final long LONG_OUTAGE_RETRY_MILLIS = 1_000;

    /** Part of the deadline that a write may wait for a primary. */
    private static final int DEADLINE_DIVISOR = 2;

    private boolean mPrimaryAbsent;
    private long mPrimaryAbsentSinceNanos;
    private long mLastWriteNanos;

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
                ServerAvailability.usablePrimary(
                        view, requirement.minimumTerm(), excluded, nowNanos);
        long absent = primaryAbsenceNanos(primary, nowNanos);
        long remaining = requirement.deadlineNanos() - nowNanos;
        long expected =
                Math.max(
                        OVERDUE_REPLACEMENT_NANOS,
                        ServerAvailability.USUAL_REPLACEMENT_NANOS - absent);
        if (primary.isPresent() && remaining > 0) {
            ServerAvailability.claimAttemptIfFailing(primary.get(), nowNanos);
            return new RoutingDecision.UseServer(primary.get().server(), 0, RouteReason.PRIMARY);
        }
        if (absent > MAXIMUM_ABSENCE_NANOS) {
            return new RoutingDecision.Unavailable(LONG_OUTAGE_RETRY_MILLIS);
        }
        long waited = requirement.waitedNanos();
        long allowed = (remaining + waited) / DEADLINE_DIVISOR - waited;
        if (allowed <= 0 || expected > remaining / 2) {
            return new RoutingDecision.Unavailable(expected / NANOS_PER_MILLI);
        }
        return new RoutingDecision.WaitForPrimary(Math.min(POLL_INTERVAL_NANOS, allowed));
    }

    private long primaryAbsenceNanos(Optional<ServerEstimate> primary, long nowNanos) {
        boolean forgotten = nowNanos - mLastWriteNanos > ABSENCE_EXPIRY_NANOS;
        mLastWriteNanos = nowNanos;
        if (primary.filter(server -> server.failures() == 0).isPresent()) {
            mPrimaryAbsent = false;
            return 0;
        }
        if (!mPrimaryAbsent || forgotten) {
            mPrimaryAbsent = true;
            mPrimaryAbsentSinceNanos = nowNanos;
        }
        return nowNanos - mPrimaryAbsentSinceNanos;
    }
}
