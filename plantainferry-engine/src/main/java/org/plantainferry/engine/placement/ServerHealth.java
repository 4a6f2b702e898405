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
    private static final double SMOOTHING = 0.15;
    private static final double FIRST_LATENCY_MILLIS = 15;
    private static final double FIRST_OPENING_MILLIS = 15;
    private static final long FIRST_AVOIDANCE_NANOS = 100_000_000L;
    private static final long LONGEST_AVOIDANCE_NANOS = 1_600_000_000L;
    private static final long DEPOSED_NANOS = 1_500_000_000L;
    private static final int MOST_DOUBLINGS = 4;
    private static final long POSITION_NEWS_NANOS = 150_000_000L;
    private static final int MOST_NEWS_DOUBLINGS = 3;
    private static final double NANOS_PER_MILLI = 1e6;

    private int mInFlight;
    private int mFailures;
    private double mLatencyMillis = FIRST_LATENCY_MILLIS;
    private double mOpeningMillis = FIRST_OPENING_MILLIS;
    private long mAvoidUntil;
    private boolean mAvoided;
    private LogPosition mPosition = LogPosition.START;
    private long mPositionNanos;
    private int mBehind;
    private boolean mDeposed;
    private long mDeposedUntil;
    private long mAnsweredNanos = Long.MIN_VALUE;

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
        mLatencyMillis += SMOOTHING * (tookNanos / NANOS_PER_MILLI - mLatencyMillis);
        mFailures = 0;
        mBehind = 0;
        mAvoided = false;
        mAnsweredNanos = nowNanos;
    }

    /** Notes that the server opened a connection. */
    public void onOpened(long nowNanos, long tookNanos) {
        mOpeningMillis += SMOOTHING * (tookNanos / NANOS_PER_MILLI - mOpeningMillis);
        onContact(nowNanos);
    }

    /** Notes that the server answered, whatever the answer says. */
    public void onContact(long nowNanos) {
        mAnsweredNanos = nowNanos;
    }

    /** Notes that the server can be reached in another way. */
    public void onReachable() {
        mFailures = 0;
        mAvoided = false;
    }

    /** Notes a lost connection, a missing answer or an error of the server. */
    public void onFailure(long nowNanos) {
        int doublings = Math.min(MOST_DOUBLINGS, mFailures);
        mFailures++;
        avoid(nowNanos, Math.min(LONGEST_AVOIDANCE_NANOS, FIRST_AVOIDANCE_NANOS << doublings));
    }

    /** Keeps new work away for a time. */
    public void avoid(long nowNanos, long forNanos) {
        mAvoided = true;
        mAvoidUntil = nowNanos + forNanos;
    }

    /** Returns whether new work should go elsewhere. */
    public boolean isAvoided(long nowNanos) {
        return mAvoided && nowNanos - mAvoidUntil < 0;
    }

    /** Returns the failures since the last answer. */
    public int failures() {
        return mFailures;
    }

    /** Returns whether the server has answered within a time. */
    public boolean hasAnsweredSince(long sinceNanos) {
        return mAnsweredNanos != Long.MIN_VALUE && mAnsweredNanos - sinceNanos >= 0;
    }

    /** Notes how far the log of the server is applied. */
    public void onPosition(long nowNanos, LogPosition position) {
        mPosition = position;
        mPositionNanos = nowNanos;
    }

    /** Notes that the server refused a statement because its log lacks a position. */
    public void onBehind() {
        mBehind++;
    }

    /**
     * Returns whether the server lacks a position, as far as is known.
     *
     * <p>What a replica said is taken to hold for a while, and for longer each time that it was
     * behind again: one that has stopped to receive would otherwise be asked with every read.
     */
    public boolean isKnownBehind(LogPosition required, long nowNanos) {
        int doublings = Math.min(MOST_NEWS_DOUBLINGS, Math.max(0, mBehind - 1));
        boolean isNews = nowNanos - mPositionNanos < POSITION_NEWS_NANOS << doublings;
        return isNews && mPosition.compareTo(required) < 0;
    }

    /** Notes that the server refused as a replica, although it was taken for the primary. */
    public void onDemoted(long nowNanos) {
        mDeposed = true;
        mDeposedUntil = nowNanos + DEPOSED_NANOS;
    }

    /** Notes that the server has newly declared its role. */
    public void onRoleDeclared() {
        mDeposed = false;
    }

    /** Returns whether the server refused as a replica lately and has declared no role since. */
    public boolean isDemoted(long nowNanos) {
        return mDeposed && nowNanos - mDeposedUntil < 0;
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
