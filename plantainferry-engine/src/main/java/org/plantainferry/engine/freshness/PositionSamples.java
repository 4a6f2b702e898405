package org.plantainferry.engine.freshness;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import org.plantainferry.api.session.LogPosition;

/**
 * Stores log positions of the primary of one group with the times that they cover.
 *
 * <p>A sample covers a time when its request was sent to a verified primary at or after that time:
 * every commit acknowledged before that time is in the log up to the position. Times are monotonic
 * nanoseconds. Not thread-safe.
 *
 * @since 0.2
 */
public final class PositionSamples {
    private static final int MAX_SAMPLES = 64;
    private static final long MIN_SPACING_NANOS = 40_000_000L;

    private final Deque<TimedPosition> mSamples = new ArrayDeque<>();

    /**
     * Records the position that a verified primary reported to a request.
     *
     * <p>A sample older than the newest one, or with a lower position, is ignored.
     *
     * @param sentNanos when the request was sent
     */
    public void record(long sentNanos, LogPosition position) {
        TimedPosition last = mSamples.peekLast();
        if (last != null && sentNanos - last.sentNanos() < 0) {
            return;
        }
        if (last != null && position.compareTo(last.position()) < 0) {
            // A lower position after a higher one comes from a late answer of a former primary.
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
     * Returns the lowest known position up to which the log has every commit acknowledged before a
     * time; empty when no sample covers the time.
     *
     * @param sinceNanos the time that must be covered
     */
    public Optional<LogPosition> positionCovering(long sinceNanos) {
        return sampleCovering(sinceNanos).map(TimedPosition::position);
    }

    /**
     * Returns the oldest sample that covers a time; empty when no sample does.
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

    /** Returns the newest position; empty without samples. */
    public Optional<LogPosition> newestPosition() {
        return Optional.ofNullable(mSamples.peekLast()).map(TimedPosition::position);
    }
}
