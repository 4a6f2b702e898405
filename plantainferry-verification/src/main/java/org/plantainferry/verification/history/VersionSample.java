package org.plantainferry.verification.history;

/**
 * Records the configuration version that an instance reported when it was polled.
 *
 * @param instance the instance
 * @param incarnation the number of the start of the instance, from 1
 * @param sentNanos the monotonic time before the poll was sent
 * @param receivedNanos the monotonic time after the answer to the poll arrived
 * @param version the version; 0 for none
 * @since 0.1
 */
public record VersionSample(
        String instance, int incarnation, long sentNanos, long receivedNanos, long version) {}
