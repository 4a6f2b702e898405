package org.plantainferry.engine.replacement;

import java.util.concurrent.TimeUnit;

/** Holds the intervals and timeouts of group monitors; see section 6 of the design page. */
final class GroupMonitorTiming {
    /** Interval of probes of the primary by the monitor of the first rank. */
    static final long PRIMARY_PROBE_INTERVAL_NANOS = millis(400);

    /** Interval of probes of replicas by the first rank, and of the primary by other ranks. */
    static final long SLOW_PROBE_INTERVAL_NANOS = millis(2_000);

    /** Interval of probes of all servers during a suspicion. */
    static final long FAST_PROBE_INTERVAL_NANOS = millis(150);

    /** Interval of probes during a long suspicion, such as while the whole group is down. */
    static final long LONG_SUSPICION_PROBE_INTERVAL_NANOS = millis(600);

    /** Time after which a suspicion counts as long. */
    static final long LONG_SUSPICION_THRESHOLD_NANOS = millis(10_000);

    /** Time from the latest cause of a suspicion to its end. */
    static final long SUSPICION_DURATION_NANOS = millis(1_500);

    /** Time after which an unanswered probe raises a suspicion. */
    static final long PROBE_SUSPICION_TIMEOUT_NANOS = millis(250);

    /** Time of silence and of lost contact with a majority after which a primary is dead. */
    static final long DEAD_TIMEOUT_NANOS = millis(700);

    /**
     * Time of silence towards two monitors after which a primary is dead.
     *
     * <p>A primary that answers is also dead once a majority has had no contact with it for this
     * time.
     */
    static final long UNREACHABLE_TIMEOUT_NANOS = millis(2_000);

    /** Age up to which probe results and opinions count. */
    static final long MAX_REPORT_AGE_NANOS = millis(1_000);

    /** Silence of the primary after which the other monitors are asked for their opinions. */
    static final long OPINION_REQUEST_SILENCE_NANOS = millis(1_000);

    /** Interval at which requests for opinions are repeated. */
    static final long OPINION_REQUEST_INTERVAL_NANOS = millis(400);

    /** Delay of an election per rank of the monitor. */
    static final long RANK_DELAY_NANOS = millis(300);

    /** Delay of a planned switchover per rank of the monitor; a switchover is not urgent. */
    static final long SWITCHOVER_RANK_DELAY_NANOS = millis(2_000);

    /** Time after which a term without a primary is followed by an election for the next term. */
    static final long NO_PRIMARY_TIMEOUT_NANOS = millis(1_000);

    /** Interval at which fence and promote requests are repeated. */
    static final long RETRY_INTERVAL_NANOS = millis(200);

    /** Maximum interval between fence requests while there is no majority. */
    static final long MAX_RETRY_INTERVAL_NANOS = millis(800);

    /** Time after which a proposal without a majority ends if any server refused it. */
    static final long COMPETING_PROPOSAL_TIMEOUT_NANOS = millis(600);

    /** Time after which a promotion without an answer is abandoned. */
    static final long PROMOTION_TIMEOUT_NANOS = millis(800);

    /**
     * Delay between the majority of grants and the promotion: the acknowledgement window, and 5 %
     * for clock drift.
     */
    static final long PROMOTION_DELAY_NANOS = AcknowledgementWindow.WINDOW_NANOS / 20 * 21;

    /** Gap between two ticks above which this process counts as having been paused. */
    static final long PROCESS_PAUSE_THRESHOLD_NANOS = millis(400);

    /** Time after which a switchover that promoted a leaving server again is retried. */
    static final long SWITCHOVER_RETRY_DELAY_NANOS = millis(5_000);

    private GroupMonitorTiming() {}

    private static long millis(long value) {
        return TimeUnit.MILLISECONDS.toNanos(value);
    }
}
