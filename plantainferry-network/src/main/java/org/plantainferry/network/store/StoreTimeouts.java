package org.plantainferry.network.store;

import org.plantainferry.api.Preconditions;

/**
 * Holds the timeouts of calls to the store.
 *
 * @param connectMillis milliseconds to wait for a connection to be established
 * @param callMillis milliseconds to wait for the response to a call
 * @param watchMarginMillis milliseconds to wait for the response to a watch beyond its wait time
 * @since 0.1
 */
public record StoreTimeouts(int connectMillis, long callMillis, long watchMarginMillis) {
    /** The default: 1 s for a connection, 2 s for a call, 3 s beyond the wait time of a watch. */
    public static final StoreTimeouts DEFAULT = new StoreTimeouts(1_000, 2_000, 3_000);

    /** Checks that each timeout is at least 1 ms. */
    public StoreTimeouts {
        Preconditions.condition(connectMillis >= 1, "connectMillis must be at least 1");
        Preconditions.condition(callMillis >= 1, "callMillis must be at least 1");
        Preconditions.condition(watchMarginMillis >= 1, "watchMarginMillis must be at least 1");
    }
}
