package org.plantainferry.engine.catalog;

/**
 * Limits the operations of one workspace on all instances together.
 *
 * @param ratePerSecond the number of operations per second
 * @param burst the number of operations above the rate that may arrive at once
 * @since 0.2
 */
public record WorkspaceLimit(double ratePerSecond, double burst) {}
