package org.plantainferry.engine.freshness;

import org.plantainferry.api.session.LogPosition;

/**
 * Holds a log position that a verified primary reported, with the time that it covers.
 *
 * @param position the position; the log up to it has every commit acknowledged before the time
 * @param sentNanos the time at which the answered request was sent, in monotonic nanoseconds
 * @since 0.3
 */
public record TimedPosition(LogPosition position, long sentNanos) {}
