package org.plantainferry.engine.freshness;

import java.util.function.LongSupplier;
import org.plantainferry.api.Preconditions;

/**
 * Counts monotonic time including the time for which the machine was suspended.
 *
 * <p>The steady clock stands still while a machine is suspended; the time of day goes on. A lead of
 * the time of day over the steady clock is therefore counted as time that has passed. A step of the
 * time of day forward only makes beliefs look older than they are; a step back is ignored. May be
 * called from any thread.
 *
 * @since 0.2
 */
public final class SuspensionAwareClock implements LongSupplier {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long MIN_SUSPENSION_NANOS = 300_000_000L;

    private final LongSupplier mSteadyNanos;
    private final LongSupplier mWallMillis;
    private long mLastSteadyNanos;
    private long mLastWallMillis;
    private long mSuspendedNanos;

    /**
     * Creates a clock.
     *
     * @param steadyNanos the steady clock, in nanoseconds
     * @param wallMillis the time of day, in milliseconds
     */
    public SuspensionAwareClock(LongSupplier steadyNanos, LongSupplier wallMillis) {
        mSteadyNanos = Preconditions.notNull(steadyNanos, "steadyNanos");
        mWallMillis = Preconditions.notNull(wallMillis, "wallMillis");
        mLastSteadyNanos = steadyNanos.getAsLong();
        mLastWallMillis = wallMillis.getAsLong();
    }

    @Override
    public synchronized long getAsLong() {
        long steady = mSteadyNanos.getAsLong();
        long wall = mWallMillis.getAsLong();
        long lead = (wall - mLastWallMillis) * NANOS_PER_MILLI - (steady - mLastSteadyNanos);
        if (lead > MIN_SUSPENSION_NANOS) {
            mSuspendedNanos += lead;
        }
        mLastSteadyNanos = steady;
        mLastWallMillis = wall;
        return steady + mSuspendedNanos;
    }
}
