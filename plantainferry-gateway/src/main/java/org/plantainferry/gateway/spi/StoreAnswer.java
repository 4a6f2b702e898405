package org.plantainferry.gateway.spi;

import org.plantainferry.engine.freshness.StoreEpoch;

/**
 * Holds what the store answered, and in which epoch.
 *
 * @param epoch the epoch of the store when it answered; unknown if the store reported none
 * @since 0.6
 */
public record StoreAnswer<T>(StoreEpoch epoch, T content) {}
