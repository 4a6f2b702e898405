package org.plantainferry.engine.freshness;

import org.plantainferry.api.session.LogPosition;

/**
 * Holds a position that a proven primary reported, with the time that it covers.
 *
 * @param position each commit acknowledged before the time is in the log up to here
 * @param sentNanos when the request was sent that was answered with it, monotonic nanoseconds
 * @since 0.3
 */
public record TimedPosition(LogPosition position, long sentNanos) {}
