package org.plantainferry.api.session;

import org.plantainferry.api.Preconditions;

/**
 * Identifies a position in the log of a service.
 *
 * <p>Positions continue across terms: an acknowledged write keeps its position when a new term
 * begins.
 *
 * @param term the term in which the position was observed; 0 before the first term
 * @param position the number of log entries up to and including this one; 0 for an empty log
 * @since 0.1
 */
public record LogPosition(long term, long position) implements Comparable<LogPosition> {
    /** The position before the first entry. */
    public static final LogPosition START = new LogPosition(0, 0);

    /** Checks that neither number is negative. */
    public LogPosition {
        Preconditions.condition(term >= 0, "term must not be negative: " + term);
        Preconditions.condition(position >= 0, "position must not be negative: " + position);
    }

    /** Returns the maximum of both terms and the maximum of both positions. */
    public LogPosition merge(LogPosition other) {
        return new LogPosition(Math.max(term, other.term), Math.max(position, other.position));
    }

    // Written out, because a generated method is linked at run time in each process.
    @Override
    public String toString() {
        return "LogPosition[term=" + term + ", position=" + position + "]";
    }

    @Override
    public int compareTo(LogPosition other) {
        int byTerm = Long.compare(term, other.term);
        return byTerm != 0 ? byTerm : Long.compare(position, other.position);
    }
}
