package org.plantainferry.engine.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Selects the workspace for which the next connection to a server is opened.
 *
 * <p>Opening a connection costs a server as much as a statement. When many requests wait, one
 * connection should serve several of them, so the workspace with the greatest total waiting time of
 * its requests comes first. A single request gains the same priority by waiting longer.
 *
 * @since 0.2
 */
public final class ConnectionOpeningPolicy {
    private static final long MIN_WEIGHT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private ConnectionOpeningPolicy() {}

    /**
     * Describes a request that waits for a connection.
     *
     * @param workspace the workspace whose connection the request needs
     * @param waitedNanos how long the request has waited, in nanoseconds
     */
    public record WaitingRequest(String workspace, long waitedNanos) {}

    /**
     * Returns the workspace to open a connection for; empty when no further connection is needed.
     *
     * @param waiting the waiting requests, in order of arrival
     * @param opening the number of connections that are being opened, by workspace; each will serve
     *     the earliest unserved request of its workspace
     */
    public static Optional<String> choose(
            List<WaitingRequest> waiting, Map<String, Integer> opening) {
        Map<String, Integer> covered = new HashMap<>(opening);
        Map<String, Long> weights = new HashMap<>();
        for (WaitingRequest request : waiting) {
            int remaining = covered.getOrDefault(request.workspace(), 0);
            if (remaining > 0) {
                covered.put(request.workspace(), remaining - 1);
                continue;
            }
            weights.merge(request.workspace(), request.waitedNanos() + MIN_WEIGHT_NANOS, Long::sum);
        }
        String best = null;
        // The order of arrival breaks ties between workspaces of equal weight.
        for (WaitingRequest request : waiting) {
            long weight = weights.getOrDefault(request.workspace(), 0L);
            if (weight > 0 && (best == null || weight > weights.get(best))) {
                best = request.workspace();
            }
        }
        return Optional.ofNullable(best);
    }
}
