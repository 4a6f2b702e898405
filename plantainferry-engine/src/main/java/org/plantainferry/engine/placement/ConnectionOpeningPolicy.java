package org.plantainferry.engine.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Chooses the workspace for which the next connection to a server is opened.
 *
 * <p>Opening takes as much of a server as a statement. Where many requests wait, one connection
 * should serve several of them, so the workspace with the longest waiting time of all its requests
 * together goes first; a single request grows as important by waiting.
 *
 * @since 0.2
 */
public final class ConnectionOpeningPolicy {
    private static final long MIN_WEIGHT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private ConnectionOpeningPolicy() {}

    /**
     * Describes a request that waits for a connection.
     *
     * @param workspace whose connection it needs
     * @param waitedNanos for how long it has waited
     */
    public record WaitingRequest(String workspace, long waitedNanos) {}

    /**
     * Returns the workspace to open for; empty when no further connection is needed.
     *
     * @param waiting the requests, in order of arrival
     * @param opening the connections that are being opened now, by workspace; each will serve the
     *     first request of its workspace
     */
    public static Optional<String> choose(
            List<WaitingRequest> waiting, Map<String, Integer> opening) {
        Map<String, Integer> covered = new HashMap<>(opening);
        Map<String, Long> weights = new HashMap<>();
        for (WaitingRequest each : waiting) {
            int left = covered.getOrDefault(each.workspace(), 0);
            if (left > 0) {
                covered.put(each.workspace(), left - 1);
                continue;
            }
            weights.merge(each.workspace(), each.waitedNanos() + MIN_WEIGHT_NANOS, Long::sum);
        }
        String best = null;
        // The order of arrival decides between workspaces that wait equally long.
        for (WaitingRequest each : waiting) {
            long weight = weights.getOrDefault(each.workspace(), 0L);
            if (weight > 0 && (best == null || weight > weights.get(best))) {
                best = each.workspace();
            }
        }
        return Optional.ofNullable(best);
    }
}
