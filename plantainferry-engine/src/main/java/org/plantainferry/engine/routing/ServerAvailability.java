package org.plantainferry.engine.routing;

import java.util.Optional;
import java.util.Set;
import org.plantainferry.api.ServerId;

/** Holds the rules on usable servers that reads and writes share. */
final class ServerAvailability {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Time in which a failed primary is usually replaced (design page, section 12). */
    static final long USUAL_REPLACEMENT_NANOS = 1_500 * NANOS_PER_MILLI;

    private static final long MINIMUM_RETRY_MILLIS = 50;

    private ServerAvailability() {}

    /** Returns the primary if it is in the highest term, not leaving, and not in backoff. */
    static Optional<ServerEstimate> usablePrimary(
            GroupRoutingState view, long term, Set<ServerId> excluded, long nowNanos) {
        if (term > view.term()) {
            return Optional.empty();
        }
        return view.primaryEstimate()
                .filter(server -> !excluded.contains(server.server()))
                .filter(server -> !server.isLeaving())
                .filter(server -> server.isAttemptDue(nowNanos));
    }

    static void claimAttemptIfFailing(ServerEstimate server, long nowNanos) {
        if (server.failures() > 0) {
            server.claimAttempt(nowNanos);
        }
    }

    /** Returns a server that has never answered and may be tried, so that a cold start is short. */
    static Optional<ServerEstimate> claimUnknownServer(
            GroupRoutingState view, Set<ServerId> excluded, long nowNanos) {
        for (ServerEstimate server : view.estimates()) {
            if (server.observation().isEmpty()
                    && !excluded.contains(server.server())
                    && server.isAttemptDue(nowNanos)) {
                server.claimAttempt(nowNanos);
                return Optional.of(server);
            }
        }
        return Optional.empty();
    }

    /** Returns the milliseconds until a server is tried again or a primary is expected. */
    static long retryAfterMillis(GroupRoutingState view, long nowNanos) {
        long soonest = USUAL_REPLACEMENT_NANOS;
        for (ServerEstimate server : view.estimates()) {
            boolean usable = server.observation().isEmpty() || view.isCurrent(server, view.term());
            if (usable) {
                soonest = Math.min(soonest, server.attemptDueInNanos(nowNanos));
            }
        }
        return Math.max(MINIMUM_RETRY_MILLIS, soonest / NANOS_PER_MILLI + 1);
    }
}
