package org.plantainferry.engine.routing;

import java.util.Optional;
import java.util.OptionalLong;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.ServerRole;

/** Tracks what one instance knows about one server. */
final class ServerEstimate {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long FIRST_BACKOFF_NANOS = 50_000_000L;
    private static final long MAXIMUM_BACKOFF_NANOS = 2_000_000_000L;

    /** The weight of a new latency sample; roughly the latest ten samples determine the average. */
    private static final double LATENCY_WEIGHT = 0.2;

    /** The assumed latency of a server that has not answered a statement yet. */
    private static final double INITIAL_LATENCY_NANOS = 1_000_000;

    /**
     * The half-life of the latency estimate without a new sample. Without decay, a server that was
     * slow once would receive no statements and therefore no new samples.
     */
    private static final double LATENCY_HALF_LIFE_NANOS = 5e9;

    /**
     * The half-life of a long delay or lag without an answer. A replica that was far behind is
     * therefore tried again after some seconds, at the cost of one "behind" refusal.
     */
    private static final double LAG_HALF_LIFE_NANOS = 1e9;

    /** The usual replication delay; a delay up to this value does not decay. */
    private static final long USUAL_REPLICATION_DELAY_NANOS = 20_000_000L;

    private final ServerId mServer;
    private FailureDomain mFailureDomain;
    private ServerObservation mObservation;
    private long mAnsweredAtNanos;
    private long mReplicationDelayNanos;
    private double mLatencyNanos = INITIAL_LATENCY_NANOS;
    private long mLatencyAtNanos;
    private boolean mHasLatency;
    private int mFailures;
    private long mFailingSinceNanos;
    private boolean mHasNextAttempt;
    private long mNextAttemptNanos;
    private boolean mHasNextProbe;
    private long mNextProbeNanos;
    private int mProbes;

    ServerEstimate(ServerId server, FailureDomain failureDomain) {
        mServer = server;
        mFailureDomain = failureDomain;
    }

    ServerId server() {
        return mServer;
    }

    FailureDomain failureDomain() {
        return mFailureDomain;
    }

    void setFailureDomain(FailureDomain failureDomain) {
        mFailureDomain = failureDomain;
    }

    Optional<ServerObservation> observation() {
        return Optional.ofNullable(mObservation);
    }

    long answeredAtNanos() {
        return mAnsweredAtNanos;
    }

    long term() {
        return mObservation == null ? 0 : mObservation.term();
    }

    boolean isLeaving() {
        return mObservation != null && mObservation.leaving();
    }

    boolean isReplica() {
        return mObservation != null && mObservation.role() == ServerRole.REPLICA;
    }

    int failures() {
        return mFailures;
    }

    long failingSinceNanos() {
        return mFailingSinceNanos;
    }

    /**
     * Records an answer and updates the estimated replication delay.
     *
     * @param behindNanos the nanoseconds since the log moved past the position; a lower bound of
     *     the delay
     * @param reachedNanos the nanoseconds since the log reached the position; an upper bound of the
     *     delay
     */
    void recordAnswer(
            ServerObservation observation,
            OptionalLong behindNanos,
            OptionalLong reachedNanos,
            long nowNanos) {
        long lagNanos = observation.lagMillis() * NANOS_PER_MILLI;
        long delay = replicationDelayNanos(nowNanos);
        if (reachedNanos.isPresent()) {
            delay = Math.min(delay, reachedNanos.getAsLong());
        }
        if (behindNanos.isPresent()) {
            delay = Math.max(delay, behindNanos.getAsLong());
        }
        mObservation = observation;
        // The reported lag also covers writes that this instance does not know about.
        mReplicationDelayNanos = Math.max(delay, lagNanos);
        mAnsweredAtNanos = nowNanos;
        mFailures = 0;
        mHasNextAttempt = false;
    }

    void resetProbes() {
        mHasNextProbe = false;
        mProbes = 0;
    }

    boolean isProbeDue(long nowNanos) {
        return !mHasNextProbe || mNextProbeNanos - nowNanos <= 0;
    }

    /** Schedules the next state probe with exponential backoff. */
    void claimProbe(long nowNanos) {
        mHasNextProbe = true;
        mNextProbeNanos = nowNanos + backoffNanos(++mProbes);
    }

    void recordFailure(long nowNanos) {
        if (mFailures == 0) {
            mFailingSinceNanos = nowNanos;
        }
        mFailures++;
        mHasNextAttempt = true;
        mNextAttemptNanos = nowNanos + backoffNanos(mFailures);
    }

    void recordLatency(long latencyNanos, long nowNanos) {
        mLatencyNanos =
                mHasLatency
                        ? mLatencyNanos + LATENCY_WEIGHT * (latencyNanos - mLatencyNanos)
                        : latencyNanos;
        mLatencyAtNanos = nowNanos;
        mHasLatency = true;
    }

    double latencyNanos(long nowNanos) {
        if (!mHasLatency) {
            return mLatencyNanos;
        }
        double age = Math.max(0, nowNanos - mLatencyAtNanos);
        return mLatencyNanos * Math.pow(0.5, age / LATENCY_HALF_LIFE_NANOS);
    }

    /** Returns the estimated replication delay of the server, in nanoseconds. */
    long replicationDelayNanos(long nowNanos) {
        return Math.max(
                Math.min(mReplicationDelayNanos, USUAL_REPLICATION_DELAY_NANOS),
                decay(mReplicationDelayNanos, nowNanos));
    }

    /** Returns the estimated age of the server's data, in milliseconds. */
    long lagMillis(long nowNanos) {
        return mObservation == null ? 0 : decay(mObservation.lagMillis(), nowNanos);
    }

    private long decay(long value, long nowNanos) {
        double age = Math.max(0, nowNanos - mAnsweredAtNanos);
        return (long) (value * Math.pow(0.5, age / LAG_HALF_LIFE_NANOS));
    }

    boolean isAttemptDue(long nowNanos) {
        return !mHasNextAttempt || mNextAttemptNanos - nowNanos <= 0;
    }

    /** Returns the nanoseconds until the next attempt is due; 0 when it is due now. */
    long attemptDueInNanos(long nowNanos) {
        return mHasNextAttempt ? Math.max(0, mNextAttemptNanos - nowNanos) : 0;
    }

    /**
     * Claims the due attempt, so that no other is made until it is answered or another backoff has
     * ended.
     */
    void claimAttempt(long nowNanos) {
        mHasNextAttempt = true;
        mNextAttemptNanos = nowNanos + backoffNanos(mFailures);
    }

    private static long backoffNanos(int attempts) {
        int shift = Math.min(16, Math.max(0, attempts - 1));
        return Math.min(MAXIMUM_BACKOFF_NANOS, FIRST_BACKOFF_NANOS << shift);
    }
}
