package org.plantainferry.engine.catalog;

/**
 * Bounds the operations of one workspace on all instances together.
 *
 * @param ratePerSecond operations a second
 * @param burst operations above the rate that may come at once
 * @since 0.2
 */
public record WorkspaceLimit(double ratePerSecond, double burst) {}
