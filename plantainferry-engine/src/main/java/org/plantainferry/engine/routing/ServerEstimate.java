package org.plantainferry.engine.routing;

import java.util.Optional;
import java.util.OptionalLong;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.ServerRole;

/** Holds what one instance knows about one server. */
final class ServerEstimate {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long FIRST_BACKOFF_NANOS = 50_000_000L;
    private static final long MAXIMUM_BACKOFF_NANOS = 2_000_000_000L;

    /** Weight of a new latency sample; about the last ten samples count. */
    private static final double LATENCY_WEIGHT = 0.2;

    /** Assumed latency of a server that has not answered a statement yet, in nanoseconds. */
    private static final double INITIAL_LATENCY_NANOS = 1_000_000;

    /**
     * An unconfirmed latency is halved each 5 s, because a server that was slow once gets no
     * statements and so no new sample.
     */
    private static final double LATENCY_HALF_LIFE_NANOS = 5e9;

    /**
     * A long delay or lag is halved for each second without an answer. So a replica that was far
     * behind is tried again after some seconds, at the cost of one answer "behind".
     */
    private static final double LAG_HALF_LIFE_NANOS = 1e9;

    /** A delay below this is the usual replication delay, which does not pass by waiting. */
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
     * Records an answer.
     *
     * @param behindNanos how long the log has been past the position; the delay is at least that
     * @param reachedNanos how long the log has been at the position; the delay is at most that
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
        // The reported lag also counts writes that this instance has not heard of.
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

    /** Plans the next question for the state of the server, with a growing interval. */
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

    /** Returns how far the replica is assumed to be behind the log now, in nanoseconds. */
    long replicationDelayNanos(long nowNanos) {
        return Math.max(
                Math.min(mReplicationDelayNanos, USUAL_REPLICATION_DELAY_NANOS),
                decay(mReplicationDelayNanos, nowNanos));
    }

    /** Returns the assumed age of the data, in milliseconds. */
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

    /** Returns the nanoseconds until the next attempt is due; 0 when it is due. */
    long attemptDueInNanos(long nowNanos) {
        return mHasNextAttempt ? Math.max(0, mNextAttemptNanos - nowNanos) : 0;
    }

    /** Lets only one attempt through until it is answered or the backoff has passed again. */
    void claimAttempt(long nowNanos) {
        mHasNextAttempt = true;
        mNextAttemptNanos = nowNanos + backoffNanos(mFailures);
    }

    private static long backoffNanos(int attempts) {
        int shift = Math.min(16, Math.max(0, attempts - 1));
        return Math.min(MAXIMUM_BACKOFF_NANOS, FIRST_BACKOFF_NANOS << shift);
    }
}
