package org.plantainferry.engine.routing;

import java.util.Optional;
import java.util.Set;
import org.plantainferry.api.ServerId;

/**
 * Routes writes to the primary, or delays them while a replacement of the primary is expected in
 * time.
 *
 * <p>Each router serves one group, because it measures how long the group has been without a
 * primary.
 *
 * @since 0.1
 */
public final class WriteRouter {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * The interval at which a waiting write is routed again, unless a primary becomes known
     * earlier.
     */
    private static final long POLL_INTERVAL_NANOS = 25 * NANOS_PER_MILLI;

    /** The remaining time that is assumed for an overdue replacement. */
    private static final long OVERDUE_REPLACEMENT_NANOS = 250 * NANOS_PER_MILLI;

    /**
     * The time without a primary after which writes no longer wait; the longest replacement time
     * that is aimed for.
     */
    private static final long MAXIMUM_ABSENCE_NANOS = 5_000 * NANOS_PER_MILLI;

    /** After this time without a write, the measured absence of the primary starts anew. */
    private static final long ABSENCE_EXPIRY_NANOS = 2_000 * NANOS_PER_MILLI;

    private static final long LONG_OUTAGE_RETRY_MILLIS = 1_000;

    /** A write may wait for this fraction of its deadline. */
    private static final int DEADLINE_DIVISOR = 2;

    private boolean mPrimaryAbsent;
    private long mPrimaryAbsentSinceNanos;
    private long mLastWriteNanos;

    /** Creates the router of a group that has a primary. */
    public WriteRouter() {}

    /**
     * Returns the routing decision for a write.
     *
     * <p>A write waits for at most half of its deadline, and only if a primary is expected within
     * half of the remaining time, so that no refusal is sent close to the deadline.
     *
     * @param excluded the servers that have refused this write
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
        long absence = primaryAbsenceNanos(primary, nowNanos);
        long remaining = requirement.deadlineNanos() - nowNanos;
        long expected =
                Math.max(
                        OVERDUE_REPLACEMENT_NANOS,
                        ServerAvailability.USUAL_REPLACEMENT_NANOS - absence);
        if (primary.isPresent() && remaining > 0) {
            ServerAvailability.claimAttemptIfFailing(primary.get(), nowNanos);
            return new RoutingDecision.UseServer(primary.get().server(), 0, RouteReason.PRIMARY);
        }
        if (absence > MAXIMUM_ABSENCE_NANOS) {
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
        boolean expired = nowNanos - mLastWriteNanos > ABSENCE_EXPIRY_NANOS;
        mLastWriteNanos = nowNanos;
        if (primary.filter(server -> server.failures() == 0).isPresent()) {
            mPrimaryAbsent = false;
            return 0;
        }
        if (!mPrimaryAbsent || expired) {
            mPrimaryAbsent = true;
            mPrimaryAbsentSinceNanos = nowNanos;
        }
        return nowNanos - mPrimaryAbsentSinceNanos;
    }
}
