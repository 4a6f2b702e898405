package org.plantainferry.verification.load;

import java.util.List;
import java.util.Optional;
import org.plantainferry.api.Preconditions;

/**
 * Describes one load run.
 *
 * @param addresses IP:PORT of the instances or servers; the callers are spread over them
 * @param requestFactory creates the requests
 * @param callers number of callers, each with one request at a time
 * @param ratePerSecond requests per second of all callers together; empty for a closed loop, in
 *     which each caller sends its next request after the response to the previous one
 * @param readShare the share of reads in the requests, from 0 to 1
 * @param usesSessionTokens whether each request carries the session token that its caller received
 *     last
 * @param rotatesAddresses whether a caller uses the next address for each request
 * @param warmUpMillis duration of the warm-up in milliseconds, which is not measured
 * @param durationMillis duration of the measured period in milliseconds
 * @param seed the seed of the random choice of reads and writes
 * @since 0.1
 */
public record LoadPlan(
        List<String> addresses,
        RequestFactory requestFactory,
        int callers,
        Optional<Double> ratePerSecond,
        double readShare,
        boolean usesSessionTokens,
        boolean rotatesAddresses,
        long warmUpMillis,
        long durationMillis,
        long seed) {
    /** Maximum number of callers of a run; each holds one connection to each address it uses. */
    public static final int MAX_CALLERS = 20_000;

    /** Maximum duration of a run including its warm-up, in milliseconds. */
    public static final long MAX_TOTAL_MILLIS = 3_600_000;

    /**
     * Creates a plan.
     *
     * @throws org.plantainferry.api.PlantainferryException if a value is out of range or an address
     *     is not a loopback address
     */
    public LoadPlan {
        Preconditions.condition(!addresses.isEmpty(), "addresses must not be empty");
        addresses = List.copyOf(addresses);
        addresses.forEach(LoopbackAddresses::requireLoopback);
        Preconditions.notNull(requestFactory, "requestFactory");
        Preconditions.condition(
                callers >= 1 && callers <= MAX_CALLERS,
                "callers must be between 1 and " + MAX_CALLERS);
        Preconditions.condition(
                ratePerSecond.isEmpty() || ratePerSecond.get() > 0, "rate must be above 0");
        Preconditions.condition(
                readShare >= 0 && readShare <= 1, "share of reads must be between 0 and 1");
        Preconditions.condition(
                warmUpMillis >= 0
                        && durationMillis > 0
                        && warmUpMillis + durationMillis <= MAX_TOTAL_MILLIS,
                "duration must be above 0, warm-up at least 0 and both together at most "
                        + MAX_TOTAL_MILLIS
                        + " ms");
    }
}
