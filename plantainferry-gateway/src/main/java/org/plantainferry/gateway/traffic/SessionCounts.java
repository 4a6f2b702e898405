package org.plantainferry.gateway.traffic;

/**
 * Holds the numbers of open sessions and transactions of an instance.
 *
 * @since 0.2
 */
public record SessionCounts(int sessions, int transactions) {}
