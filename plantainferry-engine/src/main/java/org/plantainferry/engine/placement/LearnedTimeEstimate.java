package org.plantainferry.engine.placement;

import java.util.Arrays;
import java.util.List;
import org.plantainferry.engine.capacity.WorkKind;

/**
 * Estimates by what was learned about the kind of work, the server and its room.
 *
 * <p>Servers whose times differ by less than the noise of the estimates count as equally fast, so
 * that the differences do not move work away from the connections that it has.
 */
final class LearnedTimeEstimate implements ReadTimeEstimate {
    private static final double NOISE_FACTOR = 1.5;
    private static final double NANOS_PER_MILLI = 1e6;

    @Override
    public double[] readMillis(List<ReadCandidate> candidates, WorkKind kind, long nowNanos) {
        double[] millis =
                candidates.stream()
                        .mapToDouble(
                                candidate ->
                                        candidate.room().expectedNanos(kind, nowNanos)
                                                / NANOS_PER_MILLI)
                        .toArray();
        if (millis.length == 0) {
            return millis;
        }
        double[] sorted = millis.clone();
        Arrays.sort(sorted);
        double median = sorted[(sorted.length - 1) / 2];
        for (int index = 0; index < millis.length; index++) {
            boolean isWithinNoise =
                    millis[index] <= median * NOISE_FACTOR
                            && millis[index] * NOISE_FACTOR >= median;
            millis[index] = isWithinNoise ? median : millis[index];
        }
        return millis;
    }

    @Override
    public int concurrency(ReadCandidate candidate, long nowNanos) {
        int slots = Math.max(1, candidate.server().slots());
        return Math.max(1, Math.min(slots, candidate.room().limit(nowNanos)));
    }
}
