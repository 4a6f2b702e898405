package org.plantainferry.engine.placement;

import org.plantainferry.api.session.LogPosition;

/**
 * Tracks the recent responses and failures of one server as observed by this instance.
 *
 * <p>Times are monotonic nanoseconds. Not thread-safe.
 *
 * @since 0.2
 */
public final class ServerHealth {
    private static final double SMOOTHING_FACTOR = 0.15;
    private static final double INITIAL_LATENCY_MILLIS = 15;
    private static final double INITIAL_OPENING_MILLIS = 15;
    private static final long INITIAL_AVOIDANCE_NANOS = 100_000_000L;
    private static final long MAX_AVOIDANCE_NANOS = 1_600_000_000L;
    private static final long DEMOTION_NANOS = 1_500_000_000L;
    private static final int MAX_AVOIDANCE_DOUBLINGS = 4;
    private static final long POSITION_VALIDITY_NANOS = 150_000_000L;
    private static final int MAX_VALIDITY_DOUBLINGS = 3;
    private static final double NANOS_PER_MILLI = 1e6;

    private int mInFlight;
    private int mFailures;
    private double mLatencyMillis = INITIAL_LATENCY_MILLIS;
    private double mOpeningMillis = INITIAL_OPENING_MILLIS;
    private long mAvoidedUntilNanos;
    private boolean mAvoided;
    private LogPosition mPosition = LogPosition.START;
    private long mPositionNanos;
    private int mBehindRefusals;
    private boolean mDemoted;
    private long mDemotedUntilNanos;
    private long mLastAnswerNanos = Long.MIN_VALUE;

    /** Records that a statement was sent. */
    public void onStatementSent() {
        mInFlight++;
    }

    /** Records that a statement has ended; does not affect the health of the server. */
    public void onStatementEnded() {
        mInFlight = Math.max(0, mInFlight - 1);
    }

    /** Records a complete answer, which clears earlier failures. */
    public void onAnswer(long nowNanos, long elapsedNanos) {
        mLatencyMillis += SMOOTHING_FACTOR * (elapsedNanos / NANOS_PER_MILLI - mLatencyMillis);
        mFailures = 0;
        mBehindRefusals = 0;
        mAvoided = false;
        mLastAnswerNanos = nowNanos;
    }

    /** Records that the server accepted a connection. */
    public void onOpened(long nowNanos, long elapsedNanos) {
        mOpeningMillis += SMOOTHING_FACTOR * (elapsedNanos / NANOS_PER_MILLI - mOpeningMillis);
        onContact(nowNanos);
    }

    /** Records any response of the server, whatever its content. */
    public void onContact(long nowNanos) {
        mLastAnswerNanos = nowNanos;
    }

    /** Records that the server was reached by other means, which clears earlier failures. */
    public void onReachable() {
        mFailures = 0;
        mAvoided = false;
    }

    /**
     * Records a lost connection, a missing answer or a server error; the server is avoided for a
     * time that doubles with each failure.
     */
    public void onFailure(long nowNanos) {
        int doublings = Math.min(MAX_AVOIDANCE_DOUBLINGS, mFailures);
        mFailures++;
        avoid(nowNanos, Math.min(MAX_AVOIDANCE_NANOS, INITIAL_AVOIDANCE_NANOS << doublings));
    }

    /** Directs new work away from the server for the given time. */
    public void avoid(long nowNanos, long durationNanos) {
        mAvoided = true;
        mAvoidedUntilNanos = nowNanos + durationNanos;
    }

    /** Returns whether new work should be sent to other servers. */
    public boolean isAvoided(long nowNanos) {
        return mAvoided && nowNanos - mAvoidedUntilNanos < 0;
    }

    /** Returns the number of failures since the last answer. */
    public int failures() {
        return mFailures;
    }

    /** Returns whether the server has responded since the given time. */
    public boolean hasAnsweredSince(long sinceNanos) {
        return mLastAnswerNanos != Long.MIN_VALUE && mLastAnswerNanos - sinceNanos >= 0;
    }

    /** Records the log position that the server has applied. */
    public void onPosition(long nowNanos, LogPosition position) {
        mPosition = position;
        mPositionNanos = nowNanos;
    }

    /** Records that the server refused a statement because it is behind the required position. */
    public void onBehind() {
        mBehindRefusals++;
    }

    /**
     * Returns whether the server is known to be behind a position.
     *
     * <p>A reported position is valid for a limited time, which doubles each time the replica is
     * behind again: a replica that no longer receives updates would otherwise be tried by every
     * read.
     */
    public boolean isKnownBehind(LogPosition required, long nowNanos) {
        int doublings = Math.min(MAX_VALIDITY_DOUBLINGS, Math.max(0, mBehindRefusals - 1));
        boolean isValid = nowNanos - mPositionNanos < POSITION_VALIDITY_NANOS << doublings;
        return isValid && mPosition.compareTo(required) < 0;
    }

    /**
     * Records that the server refused a statement because it is a replica, although it was
     * considered the primary.
     */
    public void onDemoted(long nowNanos) {
        mDemoted = true;
        mDemotedUntilNanos = nowNanos + DEMOTION_NANOS;
    }

    /** Records that the server has declared its role again. */
    public void onRoleDeclared() {
        mDemoted = false;
    }

    /**
     * Returns whether the server refused as a replica recently and has not declared its role since.
     */
    public boolean isDemoted(long nowNanos) {
        return mDemoted && nowNanos - mDemotedUntilNanos < 0;
    }

    /** Returns the number of statements that this instance has in progress at the server. */
    public int inFlight() {
        return mInFlight;
    }

    /** Returns the smoothed time to open a connection, in milliseconds. */
    public double openingMillis() {
        return mOpeningMillis;
    }

    /** Returns the smoothed response time, in milliseconds. */
    public double latencyMillis() {
        return mLatencyMillis;
    }
}
