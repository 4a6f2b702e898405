package org.plantainferry.engine.freshness;

import java.util.function.LongSupplier;
import org.plantainferry.api.Preconditions;

/**
 * Measures monotonic time, including the time for which the machine was suspended.
 *
 * <p>The steady clock stops while a machine is suspended, but the wall clock does not. When the
 * wall clock advances by more than the steady clock, the difference is therefore counted as elapsed
 * time. A forward step of the wall clock only makes information look older than it is; a backward
 * step is ignored. Thread-safe.
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
     * @param wallMillis the wall clock, in milliseconds
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
        long differenceNanos =
                (wall - mLastWallMillis) * NANOS_PER_MILLI - (steady - mLastSteadyNanos);
        if (differenceNanos > MIN_SUSPENSION_NANOS) {
            mSuspendedNanos += differenceNanos;
        }
        mLastSteadyNanos = steady;
        mLastWallMillis = wall;
        return steady + mSuspendedNanos;
    }
}
