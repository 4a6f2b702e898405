package org.plantainferry.engine.routing;

import java.util.Optional;
import java.util.Set;
import org.plantainferry.api.ServerId;

/** Contains the rules for usable servers that apply to both reads and writes. */
final class ServerAvailability {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** The usual time to replace a failed primary (design page, section 12). */
    static final long USUAL_REPLACEMENT_NANOS = 1_500 * NANOS_PER_MILLI;

    private static final long MINIMUM_RETRY_MILLIS = 50;

    private ServerAvailability() {}

    /**
     * Returns the primary if it is known for the highest term, not excluded, not leaving and not in
     * backoff.
     */
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

    /**
     * Returns a server that has never answered and claims an attempt on it, if one is due. Trying
     * unknown servers shortens a cold start.
     */
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

    /**
     * Returns the milliseconds until a server can be tried again or a new primary is expected; at
     * least 50.
     */
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
