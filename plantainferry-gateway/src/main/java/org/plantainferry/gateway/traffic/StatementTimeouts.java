package org.plantainferry.gateway.traffic;

import java.util.concurrent.TimeUnit;
import org.plantainferry.engine.catalog.DatabaseRoute;

/** Derives the placement deadline and the hedging delay of a statement from its route. */
final class StatementTimeouts {
    private static final double HEDGE_FRACTION_OF_OBJECTIVE = 0.6;
    private static final double PLACEMENT_FRACTION_OF_TIMEOUT = 0.9;
    private static final long MIN_HEDGE_MILLIS = 60;

    private StatementTimeouts() {}

    /** Returns the time until which a statement may wait for a connection, in nanoseconds. */
    static long placementDeadline(DatabaseRoute route, long arrivedNanos) {
        long millis = (long) (route.statementTimeoutMillis() * PLACEMENT_FRACTION_OF_TIMEOUT);
        return arrivedNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Returns the time at which a statement ends without an answer, in nanoseconds. */
    static long deadline(DatabaseRoute route, long arrivedNanos) {
        return arrivedNanos + TimeUnit.MILLISECONDS.toNanos(route.statementTimeoutMillis());
    }

    /** Returns the milliseconds without an answer after which a read is hedged. */
    static long hedgeMillis(DatabaseRoute route) {
        long part = (long) (route.latencyObjectiveMillis() * HEDGE_FRACTION_OF_OBJECTIVE);
        return Math.max(MIN_HEDGE_MILLIS, part);
    }
}
