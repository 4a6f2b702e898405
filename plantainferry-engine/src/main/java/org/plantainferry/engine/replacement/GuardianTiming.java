package org.plantainferry.engine.replacement;

import java.util.concurrent.TimeUnit;

/** Holds the times by which guardians act; design page, section 6. */
final class GuardianTiming {
    /** Probes of the primary by the guardian of the first rank. */
    static final long PRIMARY_INTERVAL_NANOS = millis(400);

    /** Probes of other servers by the first rank, and of the primary by other ranks. */
    static final long SLOW_INTERVAL_NANOS = millis(2_000);

    /** Probes of all servers during a suspicion. */
    static final long FAST_INTERVAL_NANOS = millis(150);

    /** Probes during a suspicion that has lasted long, such as a group that is down. */
    static final long LONG_SUSPICION_INTERVAL_NANOS = millis(600);

    /** The time after which a suspicion counts as long. */
    static final long LONG_SUSPICION_NANOS = millis(10_000);

    /** A suspicion ends this long after its latest cause. */
    static final long SUSPICION_NANOS = millis(1_500);

    /** An unanswered probe raises a suspicion after this time. */
    static final long PROBE_DOUBT_NANOS = millis(250);

    /** Silence, and lost contact of a majority, after which a primary is dead. */
    static final long DEAD_NANOS = millis(700);

    /**
     * Silence towards two guardians after which a primary is dead; also the time after which a
     * primary is dead that answers, but with which a majority has no contact.
     */
    static final long UNREACHABLE_NANOS = millis(2_000);

    /** The age up to which states and opinions count. */
    static final long RECENT_NANOS = millis(1_000);

    /** Asks for opinions begin at this silence, and repeat at the interval below. */
    static final long ASK_SILENCE_NANOS = millis(1_000);

    static final long ASK_INTERVAL_NANOS = millis(400);

    /** The delay between guardians of neighbouring ranks. */
    static final long RANK_DELAY_NANOS = millis(300);

    /** The delay between ranks for a planned change, which is not urgent. */
    static final long PLANNED_RANK_DELAY_NANOS = millis(2_000);

    /** A term without a primary is followed by another fence after this time. */
    static final long NO_PRIMARY_NANOS = millis(1_000);

    /** Fence and promote requests are repeated at this interval. */
    static final long REPEAT_NANOS = millis(200);

    /** The longest interval between fence requests that find no majority. */
    static final long MAX_REPEAT_NANOS = millis(800);

    /** With a rival proposer in the same term, a proposal without a majority ends after this. */
    static final long RIVAL_NANOS = millis(600);

    /** A promotion without an answer is given up after this time. */
    static final long PROMOTE_NANOS = millis(800);

    /**
     * The wait between the majority of grants and the promotion: the acknowledgement window, and 5%
     * for clocks of different speed.
     */
    static final long WINDOW_WAIT_NANOS = AcknowledgementWindow.WINDOW_NANOS / 20 * 21;

    /** A gap between two ticks that counts as a pause of this process. */
    static final long PAUSE_NANOS = millis(400);

    /** A planned change that had to keep the leaving primary is tried again after this time. */
    static final long PLANNED_RETRY_NANOS = millis(5_000);

    private GuardianTiming() {}

    private static long millis(long value) {
        return TimeUnit.MILLISECONDS.toNanos(value);
    }
}
