package org.plantainferry.verification.history;

/**
 * States the rate and burst of a workspace.
 *
 * @param ratePerSecond statements a second
 * @param burst statements at once
 * @since 0.1
 */
public record RateLimit(double ratePerSecond, double burst) {}
