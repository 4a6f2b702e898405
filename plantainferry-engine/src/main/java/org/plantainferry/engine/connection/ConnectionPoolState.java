package org.plantainferry.engine.connection;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.plantainferry.api.Preconditions;

/**
 * Decides when the connections to one server are opened, reused and closed.
 *
 * <p>Connections are compared by {@code equals}, so two of them must not be equal. The pool does no
 * I/O; its caller opens and closes connections as told and reports the results.
 *
 * @param <C> the type of the connections
 * @since 0.1
 */
public final class ConnectionPoolState<C> {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Openings in progress to one server (design page, section 10). */
    private static final int MAXIMUM_OPENINGS = 2;

    private static final long MAXIMUM_IDLE_NANOS = 60_000 * NANOS_PER_MILLI;
    private static final long FIRST_BACKOFF_NANOS = 50 * NANOS_PER_MILLI;
    private static final long MAXIMUM_BACKOFF_NANOS = 2_000 * NANOS_PER_MILLI;

    /** All instances turn to a new primary at once, so openings are paced for this time. */
    private static final long PACING_PERIOD_NANOS = 2_000 * NANOS_PER_MILLI;

    /** Mean time between two openings while they are paced. */
    private static final long MEAN_PACING_INTERVAL_NANOS = 30 * NANOS_PER_MILLI;

    private record IdleConnection<C>(C connection, long sinceNanos) {}

    private final UniformRandomProvider mRandom;
    private final Deque<IdleConnection<C>> mIdle = new ArrayDeque<>();
    private final Set<C> mUsed = new HashSet<>();
    private final Set<C> mPinned = new HashSet<>();
    private ConnectionShare mShare;
    private int mOpenings;
    private int mFailures;
    private boolean mOpeningBlocked;
    private long mNextOpeningNanos;
    private boolean mPaced;
    private long mPacedUntilNanos;

    /** Creates a pool without connections. */
    public ConnectionPoolState(ConnectionShare share, UniformRandomProvider random) {
        mShare = Preconditions.notNull(share, "share");
        mRandom = Preconditions.notNull(random, "random");
    }

    /** Returns how a request gets a connection; the most recently used idle one comes first. */
    public ConnectionAction<C> acquire(long nowNanos) {
        IdleConnection<C> idle = mIdle.pollLast();
        if (idle != null) {
            mUsed.add(idle.connection);
            return new ConnectionAction.Use<>(idle.connection);
        }
        if (size() >= mShare.connections() || mOpenings >= MAXIMUM_OPENINGS) {
            return new ConnectionAction.WaitForRelease<>();
        }
        if (mOpeningBlocked && mNextOpeningNanos - nowNanos > 0) {
            return new ConnectionAction.WaitUntil<>(mNextOpeningNanos);
        }
        mOpeningBlocked = false;
        paceOpenings(nowNanos);
        mOpenings++;
        return new ConnectionAction.Open<>();
    }

    /**
     * Records that an opening succeeded.
     *
     * @return the connection when it is to be closed because the share has shrunk meanwhile
     */
    public Optional<C> opened(C connection, long nowNanos) {
        Preconditions.notNull(connection, "connection");
        endOpening();
        mFailures = 0;
        if (size() >= mShare.connections()) {
            return Optional.of(connection);
        }
        mIdle.addLast(new IdleConnection<>(connection, nowNanos));
        return Optional.empty();
    }

    /** Records that an opening failed; the next one waits for a backoff with jitter. */
    public void openFailed(long nowNanos) {
        endOpening();
        mFailures++;
        long limit =
                Math.min(MAXIMUM_BACKOFF_NANOS, FIRST_BACKOFF_NANOS << Math.min(16, mFailures - 1));
        // Half of the backoff is fixed, so that a server that refuses is not asked again at once.
        blockOpeningsUntil(nowNanos + limit / 2 + mRandom.nextLong(limit / 2 + 1), nowNanos);
    }

    /**
     * Gives a connection back after a request whose answer was read completely.
     *
     * @return the connection when it is to be closed because the share has shrunk meanwhile
     */
    public Optional<C> release(C connection, long nowNanos) {
        removeUsed(connection);
        if (size() >= mShare.connections()) {
            return Optional.of(connection);
        }
        mIdle.addLast(new IdleConnection<>(connection, nowNanos));
        return Optional.empty();
    }

    /**
     * Forgets a connection that broke or whose state is unknown; the caller closes it.
     *
     * <p>This includes an idle connection that the server closed. An unknown connection is ignored,
     * since the loss of a connection can be reported twice.
     */
    public void discard(C connection) {
        mUsed.remove(connection);
        mPinned.remove(connection);
        mIdle.removeIf(idle -> idle.connection.equals(connection));
    }

    /**
     * Returns whether one more transaction may keep a connection.
     *
     * <p>With a share of 2 or more, one connection is left to requests without a transaction.
     */
    public boolean canPin() {
        return mPinned.size() < Math.max(1, mShare.connections() - 1);
    }

    /** Binds a used connection to a transaction, until it is released or discarded. */
    public void pin(C connection) {
        Preconditions.condition(mUsed.contains(connection), "connection must be in use");
        mPinned.add(connection);
    }

    /** Takes out the connections that were idle for 60 s or exceed the share; they are closed. */
    public List<C> evict(long nowNanos) {
        List<C> evicted = new ArrayList<>();
        while (!mIdle.isEmpty()
                && (nowNanos - mIdle.peekFirst().sinceNanos >= MAXIMUM_IDLE_NANOS
                        || size() > mShare.connections())) {
            evicted.add(mIdle.pollFirst().connection);
        }
        return evicted;
    }

    /** Takes out all idle connections, such as those to a server that is leaving. */
    public List<C> evictAll() {
        List<C> evicted = new ArrayList<>();
        mIdle.forEach(idle -> evicted.add(idle.connection));
        mIdle.clear();
        return evicted;
    }

    /** Takes over another share; surplus connections are closed by {@link #evict} and on return. */
    public void resize(ConnectionShare share) {
        mShare = Preconditions.notNull(share, "share");
    }

    /**
     * Paces openings for 2 s because the server has become the primary.
     *
     * <p>The first opening is delayed at random when there is a connection to use meanwhile.
     */
    public void onPrimaryChange(long nowNanos) {
        mPaced = true;
        mPacedUntilNanos = nowNanos + PACING_PERIOD_NANOS;
        if (mIdle.size() + mUsed.size() > 0) {
            blockOpeningsUntil(nowNanos + mRandom.nextLong(MEAN_PACING_INTERVAL_NANOS), nowNanos);
        }
    }

    /** Returns the connections that are open or opening. */
    public int size() {
        return mIdle.size() + mUsed.size() + mOpenings;
    }

    /** Returns the number of idle connections. */
    public int idle() {
        return mIdle.size();
    }

    /** Returns the number of openings in progress. */
    public int openings() {
        return mOpenings;
    }

    /** Returns the number of connections that transactions keep. */
    public int pinned() {
        return mPinned.size();
    }

    private void paceOpenings(long nowNanos) {
        if (!mPaced) {
            return;
        }
        if (mPacedUntilNanos - nowNanos <= 0) {
            mPaced = false;
            return;
        }
        long gap = MEAN_PACING_INTERVAL_NANOS / 2 + mRandom.nextLong(MEAN_PACING_INTERVAL_NANOS);
        blockOpeningsUntil(nowNanos + gap, nowNanos);
    }

    private void blockOpeningsUntil(long nanos, long nowNanos) {
        boolean blockedLonger = mOpeningBlocked && mNextOpeningNanos - nanos > 0;
        if (!blockedLonger && nanos - nowNanos > 0) {
            mOpeningBlocked = true;
            mNextOpeningNanos = nanos;
        }
    }

    private void endOpening() {
        Preconditions.condition(mOpenings > 0, "no opening is in progress");
        mOpenings--;
    }

    private void removeUsed(C connection) {
        Preconditions.condition(mUsed.remove(connection), "connection must be in use");
        mPinned.remove(connection);
    }
}
