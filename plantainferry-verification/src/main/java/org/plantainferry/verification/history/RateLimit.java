package org.plantainferry.verification.history;

/**
 * Holds the rate and burst of a workspace.
 *
 * @param ratePerSecond requests per second
 * @param burst requests at once
 * @since 0.1
 */
public record RateLimit(double ratePerSecond, double burst) {}
