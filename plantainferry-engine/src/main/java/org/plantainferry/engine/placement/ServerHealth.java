package org.plantainferry.engine.placement;

import org.plantainferry.api.session.LogPosition;

/**
 * Remembers how one server answered this instance lately.
 *
 * <p>Times are monotonic nanoseconds. Used by one thread.
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

    /** Notes that a statement was sent. */
    public void onStatementSent() {
        mInFlight++;
    }

    /** Notes that a statement has ended without saying anything about the server. */
    public void onStatementEnded() {
        mInFlight = Math.max(0, mInFlight - 1);
    }

    /** Notes a whole answer, which ends earlier evidence of a fault. */
    public void onAnswer(long nowNanos, long tookNanos) {
        mLatencyMillis += SMOOTHING_FACTOR * (tookNanos / NANOS_PER_MILLI - mLatencyMillis);
        mFailures = 0;
        mBehindRefusals = 0;
        mAvoided = false;
        mLastAnswerNanos = nowNanos;
    }

    /** Notes that the server opened a connection. */
    public void onOpened(long nowNanos, long tookNanos) {
        mOpeningMillis += SMOOTHING_FACTOR * (tookNanos / NANOS_PER_MILLI - mOpeningMillis);
        onContact(nowNanos);
    }

    /** Notes that the server answered, whatever the answer says. */
    public void onContact(long nowNanos) {
        mLastAnswerNanos = nowNanos;
    }

    /** Notes that the server can be reached in another way. */
    public void onReachable() {
        mFailures = 0;
        mAvoided = false;
    }

    /** Notes a lost connection, a missing answer or an error of the server. */
    public void onFailure(long nowNanos) {
        int doublings = Math.min(MAX_AVOIDANCE_DOUBLINGS, mFailures);
        mFailures++;
        avoid(nowNanos, Math.min(MAX_AVOIDANCE_NANOS, INITIAL_AVOIDANCE_NANOS << doublings));
    }

    /** Keeps new work away for a time. */
    public void avoid(long nowNanos, long forNanos) {
        mAvoided = true;
        mAvoidedUntilNanos = nowNanos + forNanos;
    }

    /** Returns whether new work should go elsewhere. */
    public boolean isAvoided(long nowNanos) {
        return mAvoided && nowNanos - mAvoidedUntilNanos < 0;
    }

    /** Returns the failures since the last answer. */
    public int failures() {
        return mFailures;
    }

    /** Returns whether the server has answered within a time. */
    public boolean hasAnsweredSince(long sinceNanos) {
        return mLastAnswerNanos != Long.MIN_VALUE && mLastAnswerNanos - sinceNanos >= 0;
    }

    /** Notes how far the log of the server is applied. */
    public void onPosition(long nowNanos, LogPosition position) {
        mPosition = position;
        mPositionNanos = nowNanos;
    }

    /** Notes that the server refused a statement because its log lacks a position. */
    public void onBehind() {
        mBehindRefusals++;
    }

    /**
     * Returns whether the server lacks a position, as far as is known.
     *
     * <p>What a replica said is taken to hold for a while, and for longer each time that it was
     * behind again: one that has stopped to receive would otherwise be asked with every read.
     */
    public boolean isKnownBehind(LogPosition required, long nowNanos) {
        int doublings = Math.min(MAX_VALIDITY_DOUBLINGS, Math.max(0, mBehindRefusals - 1));
        boolean isNews = nowNanos - mPositionNanos < POSITION_VALIDITY_NANOS << doublings;
        return isNews && mPosition.compareTo(required) < 0;
    }

    /** Notes that the server refused as a replica, although it was taken for the primary. */
    public void onDemoted(long nowNanos) {
        mDemoted = true;
        mDemotedUntilNanos = nowNanos + DEMOTION_NANOS;
    }

    /** Notes that the server has newly declared its role. */
    public void onRoleDeclared() {
        mDemoted = false;
    }

    /** Returns whether the server refused as a replica lately and has declared no role since. */
    public boolean isDemoted(long nowNanos) {
        return mDemoted && nowNanos - mDemotedUntilNanos < 0;
    }

    /** Returns the statements in progress from this instance. */
    public int inFlight() {
        return mInFlight;
    }

    /** Returns the smoothed time that the opening of a connection takes, in milliseconds. */
    public double openingMillis() {
        return mOpeningMillis;
    }

    /** Returns the smoothed time of an answer, in milliseconds. */
    public double latencyMillis() {
        return mLatencyMillis;
    }
}
