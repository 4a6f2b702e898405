package org.plantainferry.api.session;

import org.plantainferry.api.Preconditions;

/**
 * Names a place in the log of a service.
 *
 * <p>The position counts on across terms; an acknowledged write keeps its position when a new term
 * begins.
 *
 * @param term the term in which the place was seen; 0 before the first term
 * @param position the number of log entries up to and including the place; 0 for an empty log
 * @since 0.1
 */
public record LogPosition(long term, long position) implements Comparable<LogPosition> {
    /** The place before the first entry. */
    public static final LogPosition START = new LogPosition(0, 0);

    /** Checks that neither number is negative. */
    public LogPosition {
        Preconditions.condition(term >= 0, "term must not be negative: " + term);
        Preconditions.condition(position >= 0, "position must not be negative: " + position);
    }

    /** Returns the later of the two places in each respect. */
    public LogPosition merge(LogPosition other) {
        return new LogPosition(Math.max(term, other.term), Math.max(position, other.position));
    }

    @Override
    public int compareTo(LogPosition other) {
        int byTerm = Long.compare(term, other.term);
        return byTerm != 0 ? byTerm : Long.compare(position, other.position);
    }
}
