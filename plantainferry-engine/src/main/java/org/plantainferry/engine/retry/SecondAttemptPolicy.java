package org.plantainferry.engine.retry;

import java.util.concurrent.TimeUnit;
import org.plantainferry.api.Preconditions;

/**
 * Decides whether an instance sends a statement to the servers of a service again.
 *
 * <p>A statement that an unsuitable server refused moves to another server at once and at no cost.
 * One that could not be sent is retried after a pause, also at no cost. A statement that an
 * overloaded server refused is retried after a pause, within the {@link RetryBudget}, and only
 * while the servers have room. A read whose answer is missing, and a hedge, are sent only while the
 * servers have room; they reduce the budget. Where room is short the caller gets the refusal at
 * once, with the time after which room is expected.
 *
 * <p>Not thread-safe: one object belongs to one service and one event loop.
 *
 * @since 0.4
 */
public final class SecondAttemptPolicy {
    private static final long INITIAL_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(15);
    private static final int MAX_PAUSE_DOUBLINGS = 4;
    private static final long MIN_RETRY_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(150);
    private static final long MAX_RETRY_AFTER_NANOS = TimeUnit.SECONDS.toNanos(3);
    // Spreads the callers that are refused at the same time over half of the time that they wait.
    private static final double RETRY_AFTER_SPREAD = 0.5;
    private static final long MIN_ATTEMPT_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private final RetryBudget mBudget;
    private final BusyShare mBusyShare;

    /** Creates a policy with the retry budget of a service. */
    public SecondAttemptPolicy(RetryBudget budget, long nowNanos) {
        mBudget = Preconditions.notNull(budget, "budget");
        mBusyShare = new BusyShare(nowNanos);
    }

    /** Divides the part of the budget that does not depend on the load among instances. */
    public void shareAmong(int instances) {
        mBudget.shareAmong(instances);
    }

    /** Counts the first attempt of a statement. */
    public void onFirstAttempt(long nowNanos) {
        mBudget.onRequest(nowNanos);
    }

    /** Records an answer, and whether it is a refusal by a server whose queue is full. */
    public void onAnswer(boolean busy, long nowNanos) {
        mBusyShare.onAnswer(busy, nowNanos);
    }

    /**
     * Returns whether a read without an answer may be sent to a second server, as far as the room
     * of the servers is concerned.
     *
     * @param room the room of the servers that have not got the read
     * @param deadlineNanos the monotonic time at which the caller stops waiting
     */
    public boolean mayHedge(RoomState room, long deadlineNanos, long nowNanos) {
        boolean isUseful = deadlineNanos - nowNanos >= MIN_ATTEMPT_NANOS;
        return isUseful && !isShort(room, nowNanos);
    }

    /** Deducts a hedge from the budget. */
    public void onHedge(long nowNanos) {
        mBudget.onSecondAttempt(nowNanos);
    }

    /**
     * Decides what happens after a failed attempt.
     *
     * @param maximumAttempts the number of attempts of a statement, including the first
     * @param room the room of the servers that could run the next attempt
     * @param random a random number from 0 to 1, which spreads attempts that failed together
     */
    public RetryDecision decide(
            FailedAttempt attempt,
            int maximumAttempts,
            RoomState room,
            long nowNanos,
            double random) {
        Preconditions.notNull(attempt, "attempt");
        if (!attempt.isSafeToRetry()) {
            return giveUp(RetryDecision.Reason.NOT_SAFE, room, random);
        }
        if (attempt.attempts() >= maximumAttempts) {
            return giveUp(RetryDecision.Reason.ATTEMPTS_USED, room, random);
        }
        if (attempt.deadlineNanos() - nowNanos <= 0) {
            return giveUp(RetryDecision.Reason.DEADLINE, room, random);
        }
        return switch (attempt.cause()) {
            case BUSY -> afterOverload(attempt, room, nowNanos, random);
            case CONNECTION_LOST -> afterMissingAnswer(room, nowNanos, random);
            case CONNECT_FAILED -> new RetryDecision.Retry(pauseNanos(attempt.attempts(), random));
            default -> new RetryDecision.Retry(0);
        };
    }

    private RetryDecision afterOverload(
            FailedAttempt attempt, RoomState room, long nowNanos, double random) {
        if (isShort(room, nowNanos)) {
            return giveUp(RetryDecision.Reason.ROOM_SHORT, room, random);
        }
        long pause = pauseNanos(attempt.attempts(), random);
        if (attempt.deadlineNanos() - nowNanos - pause < MIN_ATTEMPT_NANOS) {
            return giveUp(RetryDecision.Reason.DEADLINE, room, random);
        }
        if (!mBudget.tryAcquire(nowNanos)) {
            return giveUp(RetryDecision.Reason.BUDGET_USED, room, random);
        }
        return new RetryDecision.Retry(pause);
    }

    private RetryDecision afterMissingAnswer(RoomState room, long nowNanos, double random) {
        if (isShort(room, nowNanos)) {
            return giveUp(RetryDecision.Reason.ROOM_SHORT, room, random);
        }
        mBudget.onSecondAttempt(nowNanos);
        return new RetryDecision.Retry(0);
    }

    private boolean isShort(RoomState room, long nowNanos) {
        return room.isShort() || mBusyShare.isFull(nowNanos);
    }

    /** Returns the pause after the given number of attempts: its limit, more or less a half. */
    static long pauseNanos(int attempts, double random) {
        long limit = INITIAL_PAUSE_NANOS << Math.min(attempts - 1, MAX_PAUSE_DOUBLINGS);
        return (long) (limit * (0.5 + random));
    }

    private static RetryDecision giveUp(
            RetryDecision.Reason reason, RoomState room, double random) {
        long expected =
                Math.min(
                        MAX_RETRY_AFTER_NANOS,
                        Math.max(MIN_RETRY_AFTER_NANOS, room.expectedNanos()));
        long spread = room.isShort() ? (long) (expected * RETRY_AFTER_SPREAD * random) : 0;
        return new RetryDecision.GiveUp(reason, expected + spread);
    }
}
