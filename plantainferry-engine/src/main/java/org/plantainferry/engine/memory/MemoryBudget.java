package org.plantainferry.engine.memory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Shares the memory of a process among its connections.
 *
 * <p>Below the low mark nobody notices it. Above it, long messages are received in turns, as many
 * at a time as there is room for, so that whole messages are served one after the other. Above the
 * high mark connections are closed until what is left fits: first those that hold the most bytes
 * for the longest time without progress of their own. Connections that hold little are served
 * throughout. Not thread-safe.
 *
 * @param <T> the type of a connection
 * @since 0.6
 */
public final class MemoryBudget<T> {
    /** Holds what decides whether a connection is closed before another. */
    private record Candidate<T>(
            MemoryShare<T> share, boolean isLarge, double weight, double totalWeight) {
        static final Comparator<Candidate<?>> ORDER =
                Comparator.<Candidate<?>, Boolean>comparing(Candidate::isLarge)
                        .thenComparing(Candidate::weight)
                        .thenComparing(Candidate::totalWeight)
                        .reversed();
    }

    private final MemoryLimits mLimits;
    private final Set<MemoryShare<T>> mShares = new LinkedHashSet<>();
    private final Set<MemoryShare<T>> mWaiting = new LinkedHashSet<>();
    private final Set<MemoryShare<T>> mTurns = new LinkedHashSet<>();
    private long mHeldBytes;
    // When all began to wait with no turn taken, or one was last closed for it.
    private Optional<Long> mStalledSinceNanos = Optional.empty();

    /** Creates a budget of which nothing is held. */
    public MemoryBudget(MemoryLimits limits) {
        mLimits = limits;
    }

    /** Adds a connection that holds nothing. */
    public MemoryShare<T> open(T owner) {
        MemoryShare<T> share = new MemoryShare<>(this, owner);
        mShares.add(share);
        return share;
    }

    /** Returns all connections. */
    public List<T> owners() {
        return mShares.stream().map(MemoryShare::owner).toList();
    }

    /** Returns the bytes that all connections hold. */
    public long heldBytes() {
        return mHeldBytes;
    }

    /** Returns whether long messages are received in turns. */
    public boolean isShort() {
        return mHeldBytes > mLimits.lowMarkBytes() || !mWaiting.isEmpty();
    }

    /** Returns whether {@link #decide} would close connections, or let others receive again. */
    public boolean needsDecision() {
        return mHeldBytes > mLimits.highMarkBytes() || (!mWaiting.isEmpty() && hasRoomForTurn());
    }

    /**
     * Returns whether a connection may receive more of its message. Otherwise it waits for its
     * turn, which {@link #decide} gives.
     */
    public boolean mayReceive(MemoryShare<T> share, long nowNanos) {
        boolean isSmall = share.bytes(Holding.RECEIVED) <= mLimits.smallBytes();
        if (isSmall || mTurns.contains(share) || !isShort()) {
            return true;
        }
        if (mWaiting.isEmpty() && hasRoomForTurn()) {
            takeTurn(share, nowNanos);
            return true;
        }
        mWaiting.add(share);
        return false;
    }

    /** Decides which connections may receive again, and which are closed, whose shares end. */
    public MemoryDecision<T> decide(long nowNanos) {
        List<T> closed = new ArrayList<>();
        closeLateTurns(nowNanos, closed);
        closeWhileAbove(mLimits.highMarkBytes(), nowNanos, closed);
        List<T> resumed = giveTurns(nowNanos);
        breakStall(nowNanos, closed);
        resumed.addAll(giveTurns(nowNanos));
        return new MemoryDecision<>(resumed, closed);
    }

    /**
     * Decides which connections are closed because the process was refused memory: as many as are
     * above the low mark, at least one if any holds memory.
     */
    public List<T> relieve(long nowNanos) {
        List<T> closed = new ArrayList<>();
        closeHeaviest(nowNanos, closed);
        closeWhileAbove(mLimits.lowMarkBytes(), nowNanos, closed);
        return closed;
    }

    /** Ends the turns that took too long, while others wait for the room. */
    private void closeLateTurns(long nowNanos, List<T> closed) {
        if (mWaiting.isEmpty()) {
            return;
        }
        for (MemoryShare<T> share : List.copyOf(mTurns)) {
            if (nowNanos - share.turnStartNanos() >= mLimits.turnNanos()) {
                close(share, closed);
            }
        }
    }

    private void closeWhileAbove(long bytes, long nowNanos, List<T> closed) {
        if (mHeldBytes <= bytes) {
            return;
        }
        Iterator<Candidate<T>> heaviest = candidates(nowNanos).iterator();
        while (mHeldBytes > bytes && heaviest.hasNext()) {
            close(heaviest.next().share(), closed);
        }
    }

    private void closeHeaviest(long nowNanos, List<T> closed) {
        candidates(nowNanos).stream()
                .findFirst()
                .ifPresent(candidate -> close(candidate.share(), closed));
    }

    /** Returns the connections that hold memory, in the order in which they are to be closed. */
    private List<Candidate<T>> candidates(long nowNanos) {
        return mShares.stream()
                .filter(share -> share.bytes() > 0)
                .map(
                        share ->
                                new Candidate<>(
                                        share,
                                        share.bytesOfOtherEnd() > mLimits.smallBytes(),
                                        share.weight(nowNanos),
                                        share.totalWeight(nowNanos)))
                .sorted(Candidate.ORDER)
                .toList();
    }

    private void close(MemoryShare<T> share, List<T> closed) {
        share.close();
        closed.add(share.owner());
    }

    private List<T> giveTurns(long nowNanos) {
        List<T> resumed = new ArrayList<>();
        Iterator<MemoryShare<T>> waiting = mWaiting.iterator();
        while (waiting.hasNext() && hasRoomForTurn()) {
            MemoryShare<T> share = waiting.next();
            waiting.remove();
            takeTurn(share, nowNanos);
            resumed.add(share.owner());
        }
        return resumed;
    }

    private boolean hasRoomForTurn() {
        long reservedBytes = mLimits.messageBytes() * (mTurns.size() + 1L);
        return mHeldBytes + reservedBytes <= mLimits.highMarkBytes();
    }

    private void takeTurn(MemoryShare<T> share, long nowNanos) {
        share.startTurn(nowNanos);
        mTurns.add(share);
    }

    /** Closes a connection when all wait, and what the others hold leaves no room for a turn. */
    private void breakStall(long nowNanos, List<T> closed) {
        if (mWaiting.isEmpty() || !mTurns.isEmpty()) {
            mStalledSinceNanos = Optional.empty();
            return;
        }
        if (mStalledSinceNanos.isEmpty()) {
            mStalledSinceNanos = Optional.of(nowNanos);
        } else if (nowNanos - mStalledSinceNanos.get() >= mLimits.turnNanos()) {
            closeHeaviest(nowNanos, closed);
            mStalledSinceNanos = Optional.of(nowNanos);
        }
    }

    void add(long bytes) {
        mHeldBytes += bytes;
    }

    void endTurn(MemoryShare<T> share) {
        mTurns.remove(share);
        mWaiting.remove(share);
    }

    void remove(MemoryShare<T> share) {
        endTurn(share);
        mShares.remove(share);
    }
}
