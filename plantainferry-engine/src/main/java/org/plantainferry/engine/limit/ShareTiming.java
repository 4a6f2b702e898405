package org.plantainferry.engine.limit;

import java.util.concurrent.TimeUnit;

/** Holds the durations that both sides of the share protocol rely on. */
final class ShareTiming {
    static final double NANOS_PER_SECOND = 1e9;

    /**
     * The gap, in mean intervals between requests, after which traffic counts as ended. In random
     * traffic such a gap has a chance of 0.03%. Until then the instance counts as a borrower and
     * keeps a part of the capacity away from where the traffic is now.
     */
    static final double TRAFFIC_END_GAP_INTERVALS = 8;

    /** The period of the requests to an allocator. */
    static final long REQUEST_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** The lifetime of a deposit as the allocator counts it. */
    static final long DEPOSIT_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** The holder counts 1% longer, because the clock rates of two machines differ a little. */
    static final long HOLDER_DEPOSIT_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(2_020);

    /** The lifetime of a grant as the borrower counts it. */
    static final long GRANT_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The time that a caller may wait for a grant. */
    static final long MAXIMUM_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** The time that a caller may wait where no allocator has answered for its workspace yet. */
    static final long MAXIMUM_FIRST_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** A version is in force everywhere within 11 s; the rest is a margin. */
    static final long CONFIGURATION_SETTLING_NANOS = TimeUnit.SECONDS.toNanos(15);

    private ShareTiming() {}
}
