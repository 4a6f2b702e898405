package org.plantainferry.verification.load;

import java.util.List;
import java.util.Optional;
import org.plantainferry.api.Preconditions;

/**
 * Describes one run of callers.
 *
 * @param addresses IP:PORT of the instances or servers; the callers are spread over them
 * @param requestFactory builds the requests
 * @param callers connections, each with one request at a time
 * @param ratePerSecond requests a second of all callers together; empty for a closed loop, in which
 *     each caller sends its next request after an answer
 * @param readShare the part of the requests that are reads, from 0 to 1
 * @param usesSessionTokens whether callers carry session tokens from answer to answer
 * @param rotatesAddresses whether a caller moves to the next address after each answer
 * @param warmUpMillis milliseconds before measuring
 * @param durationMillis milliseconds of measuring
 * @param seed of the random choices
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
    /** The most callers of one run; each holds one connection for each address it uses. */
    public static final int MAX_CALLERS = 20_000;

    /** The longest run, with its warm-up, in milliseconds. */
    public static final long MAX_TOTAL_MILLIS = 3_600_000;

    /** Checks the ranges, and that every address is a loopback address. */
    public LoadPlan {
        Preconditions.condition(!addresses.isEmpty(), "addresses must not be empty");
        addresses = List.copyOf(addresses);
        addresses.forEach(LoopbackAddresses::requireLoopback);
        Preconditions.notNull(requestFactory, "requests");
        Preconditions.condition(
                callers >= 1 && callers <= MAX_CALLERS, "callers must be 1 to " + MAX_CALLERS);
        Preconditions.condition(
                ratePerSecond.isEmpty() || ratePerSecond.get() > 0, "rate must be above 0");
        Preconditions.condition(readShare >= 0 && readShare <= 1, "reads must be 0 to 1");
        Preconditions.condition(
                warmUpMillis >= 0
                        && durationMillis > 0
                        && warmUpMillis + durationMillis <= MAX_TOTAL_MILLIS,
                "duration and warm-up must be at most " + MAX_TOTAL_MILLIS + " ms");
    }
}
