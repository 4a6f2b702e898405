package org.plantainferry.engine.drain;

import java.util.Optional;
import org.plantainferry.api.Preconditions;

/**
 * Decides what an instance still accepts after a termination signal or a drain order.
 *
 * <p>Times are monotonic nanoseconds. The phases only move forward.
 *
 * @since 0.1
 */
public final class DrainState {
    /** The time that requests and transactions get to finish, when settings name no other. */
    public static final long DEFAULT_DRAIN_NANOS = 30_000_000_000L;

    /**
     * A connection between instances learns of the drain only with the next heartbeat, so requests
     * without a transaction are still accepted for this long.
     */
    public static final long REQUEST_ACCEPTANCE_NANOS = 3_000_000_000L;

    private final long mDrainNanos;
    private DrainPhase mPhase = DrainPhase.SERVING;
    private DrainCause mCause;
    private long mStartedNanos;

    /**
     * Creates the state of an instance that serves.
     *
     * @param drainNanos the longest time in {@link DrainPhase#DRAINING}
     */
    public DrainState(long drainNanos) {
        Preconditions.condition(drainNanos > 0, "drainNanos must be greater than 0");
        mDrainNanos = drainNanos;
    }

    /**
     * Starts the drain; a second call changes nothing, so a repeated signal cannot extend it.
     *
     * @return whether this call started it
     */
    public boolean start(DrainCause cause, long nowNanos) {
        Preconditions.notNull(cause, "cause");
        if (mPhase != DrainPhase.SERVING) {
            return false;
        }
        mPhase = DrainPhase.DRAINING;
        mCause = cause;
        mStartedNanos = nowNanos;
        return true;
    }

    /**
     * Moves to the phase that the work in progress allows.
     *
     * @param requests requests in flight or queued
     * @param transactions open transactions
     */
    public DrainPhase update(int requests, int transactions, long nowNanos) {
        if (mPhase == DrainPhase.DRAINING) {
            long elapsed = nowNanos - mStartedNanos;
            boolean idle = requests == 0 && transactions == 0 && elapsed >= acceptNanos();
            if (idle || elapsed >= mDrainNanos) {
                mPhase = DrainPhase.CLOSED;
            }
        }
        return mPhase;
    }

    /** Returns the phase as of the last update. */
    public DrainPhase phase() {
        return mPhase;
    }

    /** Returns what the traffic threads need to know now. */
    public DrainView view(long nowNanos) {
        boolean serving = mPhase == DrainPhase.SERVING;
        boolean requests =
                serving
                        || (mPhase == DrainPhase.DRAINING
                                && nowNanos - mStartedNanos < acceptNanos());
        return new DrainView(
                mPhase,
                Optional.ofNullable(mCause),
                serving,
                serving,
                requests,
                mPhase != DrainPhase.CLOSED,
                remainingNanos(nowNanos));
    }

    private long acceptNanos() {
        return Math.min(REQUEST_ACCEPTANCE_NANOS, mDrainNanos / 2);
    }

    private long remainingNanos(long nowNanos) {
        return switch (mPhase) {
            case SERVING -> Long.MAX_VALUE;
            case DRAINING -> Math.max(0, mDrainNanos - (nowNanos - mStartedNanos));
            case CLOSED -> 0;
        };
    }
}
