package org.plantainferry.engine.limit;

import java.util.concurrent.TimeUnit;

/** Defines the durations that holders and allocators of the share protocol rely on. */
final class ShareTiming {
    static final double NANOS_PER_SECOND = 1e9;

    /**
     * The gap, in mean intervals between requests, after which traffic is considered ended. In
     * random traffic, a gap of this length has a probability of 0.03%. Until then, the instance
     * counts as an active borrower and reduces the capacity of the instances that now receive the
     * traffic.
     */
    static final double TRAFFIC_END_GAP_INTERVALS = 8;

    /** The period of regular requests to an allocator. */
    static final long REQUEST_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** The lifetime of a deposit as measured by the allocator. */
    static final long DEPOSIT_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(2);

    /**
     * The lifetime of a deposit as measured by the holder, 1% longer than at the allocator because
     * the clock rates of two machines differ slightly.
     */
    static final long HOLDER_DEPOSIT_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(2_020);

    /** The lifetime of a grant as measured by the borrower. */
    static final long GRANT_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The longest time that a request waits for a token. */
    static final long MAXIMUM_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * The longest time that a request waits for a token before any allocator has answered for its
     * workspace.
     */
    static final long MAXIMUM_FIRST_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /**
     * The time after which a configuration version is in force on all instances: at most 11 s plus
     * a margin.
     */
    static final long CONFIGURATION_SETTLING_NANOS = TimeUnit.SECONDS.toNanos(15);

    private ShareTiming() {}
}
