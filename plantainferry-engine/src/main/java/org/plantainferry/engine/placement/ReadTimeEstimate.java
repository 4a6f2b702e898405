package org.plantainferry.engine.placement;

import java.util.List;
import org.plantainferry.engine.capacity.WorkKind;

/** Estimates how long a read takes at each server that can run it. */
public interface ReadTimeEstimate {
    /**
     * Returns the time of a read at each candidate, in milliseconds and in the order of the
     * candidates, without the work that this instance has sent there.
     */
    double[] readMillis(List<ReadCandidate> candidates, WorkKind kind, long nowNanos);

    /** Returns how many statements a server runs concurrently without delaying each other. */
    int concurrency(ReadCandidate candidate, long nowNanos);

    /** Estimates by the smoothed response times of all kinds of work and the declared slots. */
    static ReadTimeEstimate byResponseTimes() {
        return new ResponseTimeEstimate();
    }

    /** Estimates by what was learned about the kind of work, the server and its room. */
    static ReadTimeEstimate byLearnedTimes() {
        return new LearnedTimeEstimate();
    }
}
