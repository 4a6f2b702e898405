package org.plantainferry.engine.placement;

import java.util.List;
import org.plantainferry.engine.capacity.WorkKind;

/** Estimates by the smoothed response times of all kinds of work and the declared slots. */
final class ResponseTimeEstimate implements ReadTimeEstimate {
    @Override
    public double[] readMillis(List<ReadCandidate> candidates, WorkKind kind, long nowNanos) {
        return candidates.stream()
                .mapToDouble(candidate -> candidate.health().latencyMillis())
                .toArray();
    }

    @Override
    public int concurrency(ReadCandidate candidate, long nowNanos) {
        return Math.max(1, candidate.server().slots());
    }
}
