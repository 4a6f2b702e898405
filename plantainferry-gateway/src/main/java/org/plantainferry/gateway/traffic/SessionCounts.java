package org.plantainferry.gateway.traffic;

/**
 * Counts the open sessions and transactions of an instance.
 *
 * @since 0.2
 */
public record SessionCounts(int sessions, int transactions) {}
