package org.plantainferry.engine.memory;

import java.util.Arrays;

/**
 * Holds what one connection has of a {@link MemoryBudget}. Not thread-safe.
 *
 * @param <T> the type of the connection
 * @since 0.6
 */
public final class MemoryShare<T> {
    // A holding that is older does not weigh more.
    private static final long MAX_AGE_NANOS = 30_000_000_000L;

    private final MemoryBudget<T> mBudget;
    private final T mOwner;
    private final long[] mBytes = new long[Holding.values().length];
    private final long[] mSinceNanos = new long[Holding.values().length];
    private long mTurnStartNanos;
    private boolean mClosed;

    MemoryShare(MemoryBudget<T> budget, T owner) {
        mBudget = budget;
        mOwner = owner;
    }

    /** Returns the connection. */
    public T owner() {
        return mOwner;
    }

    /** Returns the bytes that are held for a reason. */
    public long bytes(Holding holding) {
        return mBytes[holding.ordinal()];
    }

    /** Returns all bytes that are held. */
    public long bytes() {
        return Arrays.stream(mBytes).sum();
    }

    /**
     * Sets the bytes that are held for a reason. Their age begins when they are first above zero.
     */
    public void hold(Holding holding, long bytes, long nowNanos) {
        if (mClosed) {
            return;
        }
        int index = holding.ordinal();
        if (mBytes[index] == 0) {
            mSinceNanos[index] = nowNanos;
        }
        mBudget.add(bytes - mBytes[index]);
        mBytes[index] = bytes;
        if (holding == Holding.RECEIVED && bytes == 0) {
            mBudget.endTurn(this);
        }
    }

    /** Gives all bytes back; later calls change nothing. */
    public void close() {
        if (!mClosed) {
            mBudget.add(-bytes());
            mClosed = true;
            Arrays.fill(mBytes, 0);
            mBudget.remove(this);
        }
    }

    /** Returns the bytes that only the other end can make free. */
    long bytesOfOtherEnd() {
        long bytes = 0;
        for (Holding holding : Holding.values()) {
            bytes += holding.isHeldByOtherEnd() ? bytes(holding) : 0;
        }
        return bytes;
    }

    /** Returns the bytes that only the other end can make free, each times its age. */
    double weight(long nowNanos) {
        double weight = 0;
        for (Holding holding : Holding.values()) {
            if (holding.isHeldByOtherEnd()) {
                weight += weight(holding, nowNanos);
            }
        }
        return weight;
    }

    /** Returns all bytes that are held, each times its age. */
    double totalWeight(long nowNanos) {
        double weight = 0;
        for (Holding holding : Holding.values()) {
            weight += weight(holding, nowNanos);
        }
        return weight;
    }

    private double weight(Holding holding, long nowNanos) {
        int index = holding.ordinal();
        // Counts bytes of no age, too.
        long age = Math.max(1, Math.min(MAX_AGE_NANOS, nowNanos - mSinceNanos[index]));
        return (double) mBytes[index] * age;
    }

    void startTurn(long nowNanos) {
        mTurnStartNanos = nowNanos;
    }

    long turnStartNanos() {
        return mTurnStartNanos;
    }
}
