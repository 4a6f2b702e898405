package org.plantainferry.network.store;

import org.plantainferry.api.Preconditions;

/**
 * Sets how long calls of the store may take.
 *
 * @param connectMillis milliseconds to wait for a connection
 * @param callMillis milliseconds to wait for the answer to a call
 * @param watchMarginMillis milliseconds that the answer to a watch may take beyond its wait
 * @since 0.1
 */
public record StoreTimeouts(int connectMillis, long callMillis, long watchMarginMillis) {
    /** The default: 1 s for a connection, 2 s for a call, 3 s beyond the wait of a watch. */
    public static final StoreTimeouts DEFAULT = new StoreTimeouts(1_000, 2_000, 3_000);

    /** Checks the ranges. */
    public StoreTimeouts {
        Preconditions.condition(connectMillis >= 1, "connectMillis must be at least 1");
        Preconditions.condition(callMillis >= 1, "callMillis must be at least 1");
        Preconditions.condition(watchMarginMillis >= 1, "watchMarginMillis must be at least 1");
    }
}
