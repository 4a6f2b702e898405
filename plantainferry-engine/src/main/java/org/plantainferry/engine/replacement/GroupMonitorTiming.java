package org.plantainferry.engine.replacement;

import java.util.concurrent.TimeUnit;

/** Holds the times by which guardians act; design page, section 6. */
final class GroupMonitorTiming {
    /** Probes of the primary by the guardian of the first rank. */
    static final long PRIMARY_PROBE_INTERVAL_NANOS = millis(400);

    /** Probes of other servers by the first rank, and of the primary by other ranks. */
    static final long SLOW_PROBE_INTERVAL_NANOS = millis(2_000);

    /** Probes of all servers during a suspicion. */
    static final long FAST_PROBE_INTERVAL_NANOS = millis(150);

    /** Probes during a suspicion that has lasted long, such as a group that is down. */
    static final long LONG_SUSPICION_PROBE_INTERVAL_NANOS = millis(600);

    /** The time after which a suspicion counts as long. */
    static final long LONG_SUSPICION_THRESHOLD_NANOS = millis(10_000);

    /** A suspicion ends this long after its latest cause. */
    static final long SUSPICION_DURATION_NANOS = millis(1_500);

    /** An unanswered probe raises a suspicion after this time. */
    static final long PROBE_SUSPICION_TIMEOUT_NANOS = millis(250);

    /** Silence, and lost contact of a majority, after which a primary is dead. */
    static final long DEAD_TIMEOUT_NANOS = millis(700);

    /**
     * Silence towards two guardians after which a primary is dead; also the time after which a
     * primary is dead that answers, but with which a majority has no contact.
     */
    static final long UNREACHABLE_TIMEOUT_NANOS = millis(2_000);

    /** The age up to which states and opinions count. */
    static final long MAX_REPORT_AGE_NANOS = millis(1_000);

    /** Asks for opinions begin at this silence, and repeat at the interval below. */
    static final long OPINION_REQUEST_SILENCE_NANOS = millis(1_000);

    static final long OPINION_REQUEST_INTERVAL_NANOS = millis(400);

    /** The delay between guardians of neighbouring ranks. */
    static final long RANK_DELAY_NANOS = millis(300);

    /** The delay between ranks for a planned change, which is not urgent. */
    static final long SWITCHOVER_RANK_DELAY_NANOS = millis(2_000);

    /** A term without a primary is followed by another fence after this time. */
    static final long NO_PRIMARY_TIMEOUT_NANOS = millis(1_000);

    /** Fence and promote requests are repeated at this interval. */
    static final long RETRY_INTERVAL_NANOS = millis(200);

    /** The longest interval between fence requests that find no majority. */
    static final long MAX_RETRY_INTERVAL_NANOS = millis(800);

    /** With a rival proposer in the same term, a proposal without a majority ends after this. */
    static final long COMPETING_PROPOSAL_TIMEOUT_NANOS = millis(600);

    /** A promotion without an answer is given up after this time. */
    static final long PROMOTION_TIMEOUT_NANOS = millis(800);

    /**
     * The wait between the majority of grants and the promotion: the acknowledgement window, and 5%
     * for clocks of different speed.
     */
    static final long PROMOTION_DELAY_NANOS = AcknowledgementWindow.WINDOW_NANOS / 20 * 21;

    /** A gap between two ticks that counts as a pause of this process. */
    static final long PROCESS_PAUSE_THRESHOLD_NANOS = millis(400);

    /** A planned change that had to keep the leaving primary is tried again after this time. */
    static final long SWITCHOVER_RETRY_DELAY_NANOS = millis(5_000);

    private GroupMonitorTiming() {}

    private static long millis(long value) {
        return TimeUnit.MILLISECONDS.toNanos(value);
    }
}
