package org.plantainferry.engine.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.OptionalLong;

/**
 * Records when the log of a group was first observed at each position.
 *
 * <p>A replica with delay d holds what the log held d ago, so the history converts the position of
 * a replica to its delay and its delay to a position.
 */
final class LogPositionHistory {
    /** Limits the memory per service to about 8 KB. */
    private static final int MAXIMUM_SAMPLES = 256;

    /** Samples closer together are merged, so that a full history spans at least one second. */
    private static final long MINIMUM_SPACING_NANOS = 4_000_000L;

    private record Sample(long nanos, long position) {}

    private final Deque<Sample> mSamples = new ArrayDeque<>();

    void clear() {
        mSamples.clear();
    }

    /** Records that the log has reached at least this position at this time. */
    void record(long position, long nowNanos) {
        Sample last = mSamples.peekLast();
        if (last != null && position <= last.position) {
            return;
        }
        if (last != null && mSamples.size() > 1) {
            Sample beforeLast = secondLast();
            if (last.nanos - beforeLast.nanos < MINIMUM_SPACING_NANOS) {
                // Keeps the later time, so that no replica is assumed to be ahead of its actual
                // position.
                mSamples.removeLast();
            }
        }
        mSamples.addLast(new Sample(nowNanos, position));
        if (mSamples.size() > MAXIMUM_SAMPLES) {
            mSamples.removeFirst();
        }
    }

    /** Returns the latest observed position; 0 for none. */
    long latestPosition() {
        Sample last = mSamples.peekLast();
        return last == null ? 0 : last.position;
    }

    /**
     * Returns the position observed at the given time; 0 if the history does not reach back so far.
     */
    long positionAt(long nanos) {
        for (Iterator<Sample> i = mSamples.descendingIterator(); i.hasNext(); ) {
            Sample sample = i.next();
            if (sample.nanos - nanos <= 0) {
                return sample.position;
            }
        }
        return 0;
    }

    /**
     * Returns the earliest recorded time at which the log was at or past a position; empty when it
     * has not been observed there.
     */
    OptionalLong reachedAt(long position) {
        OptionalLong reached = OptionalLong.empty();
        for (Iterator<Sample> i = mSamples.descendingIterator(); i.hasNext(); ) {
            Sample sample = i.next();
            if (sample.position < position) {
                break;
            }
            reached = OptionalLong.of(sample.nanos);
        }
        return reached;
    }

    private Sample secondLast() {
        Iterator<Sample> i = mSamples.descendingIterator();
        i.next();
        return i.next();
    }
}
