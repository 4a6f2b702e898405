package org.plantainferry.engine.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.OptionalLong;

/**
 * Remembers when the log of a group was first seen at which position.
 *
 * <p>A replica whose delay is d has now what the log had d ago, so this history yields both the
 * delay of a replica from its position and its position from its delay.
 */
final class LogPositionHistory {
    /** Bounds the memory of a service to about 8 KB. */
    private static final int MAXIMUM_SAMPLES = 256;

    /** Samples closer than this are merged, so that the history spans at least a second. */
    private static final long MINIMUM_SPACING_NANOS = 4_000_000L;

    private record Sample(long nanos, long position) {}

    private final Deque<Sample> mSamples = new ArrayDeque<>();

    void clear() {
        mSamples.clear();
    }

    /** Records that the log had at least this position at this time. */
    void record(long position, long nowNanos) {
        Sample last = mSamples.peekLast();
        if (last != null && position <= last.position) {
            return;
        }
        if (last != null && mSamples.size() > 1) {
            Sample beforeLast = secondLast();
            if (last.nanos - beforeLast.nanos < MINIMUM_SPACING_NANOS) {
                // The merged sample takes the later time, so that no replica is credited too early.
                mSamples.removeLast();
            }
        }
        mSamples.addLast(new Sample(nowNanos, position));
        if (mSamples.size() > MAXIMUM_SAMPLES) {
            mSamples.removeFirst();
        }
    }

    /** Returns the last position seen; 0 for none. */
    long latestPosition() {
        Sample last = mSamples.peekLast();
        return last == null ? 0 : last.position;
    }

    /** Returns the position that the log was seen to have at a time; 0 when that is forgotten. */
    long positionAt(long nanos) {
        for (Iterator<Sample> i = mSamples.descendingIterator(); i.hasNext(); ) {
            Sample sample = i.next();
            if (sample.nanos - nanos <= 0) {
                return sample.position;
            }
        }
        return 0;
    }

    /** Returns the first time at which the log was seen at or past a position. */
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
