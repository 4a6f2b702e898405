package org.plantainferry.engine.freshness;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import org.plantainferry.api.session.LogPosition;

/**
 * Remembers log positions of the primary of one group with the times they cover.
 *
 * <p>A sample covers a time when its request was sent to a proven primary at or after that time:
 * each commit acknowledged before is in the log up to the position. Times are monotonic
 * nanoseconds. Used by one thread.
 *
 * @since 0.2
 */
public final class PositionSamples {
    private static final int MAX_SAMPLES = 64;
    private static final long MIN_SPACING_NANOS = 40_000_000L;

    private final Deque<TimedPosition> mSamples = new ArrayDeque<>();

    /** Records the position that a proven primary reported to a request sent at a time. */
    public void record(long sentNanos, LogPosition position) {
        TimedPosition last = mSamples.peekLast();
        if (last != null && sentNanos - last.sentNanos() < 0) {
            return;
        }
        if (last != null && position.compareTo(last.position()) < 0) {
            // A lower position after a higher one is a late answer of a former primary.
            return;
        }
        if (last != null && mSamples.size() >= 2 && isDense(last, sentNanos)) {
            mSamples.removeLast();
        }
        mSamples.addLast(new TimedPosition(position, sentNanos));
        if (mSamples.size() > MAX_SAMPLES) {
            mSamples.removeFirst();
        }
    }

    private boolean isDense(TimedPosition last, long sentNanos) {
        Iterator<TimedPosition> newest = mSamples.descendingIterator();
        newest.next();
        return sentNanos - newest.next().sentNanos() < MIN_SPACING_NANOS
                && last.sentNanos() - sentNanos < 0;
    }

    /**
     * Returns the lowest known position that holds every commit acknowledged before a time.
     *
     * @param sinceNanos the time that must be covered
     */
    public Optional<LogPosition> positionCovering(long sinceNanos) {
        return sampleCovering(sinceNanos).map(TimedPosition::position);
    }

    /**
     * Returns the oldest sample that covers a time.
     *
     * @param sinceNanos the time that must be covered
     */
    public Optional<TimedPosition> sampleCovering(long sinceNanos) {
        for (TimedPosition sample : mSamples) {
            if (sample.sentNanos() - sinceNanos >= 0) {
                return Optional.of(sample);
            }
        }
        return Optional.empty();
    }

    /** Returns the newest position. */
    public Optional<LogPosition> newestPosition() {
        return Optional.ofNullable(mSamples.peekLast()).map(TimedPosition::position);
    }
}
