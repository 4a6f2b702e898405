package org.plantainferry.verification.standin.group;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Runs the replication of one group in a thread; one lock guards all servers of the group. */
final class DatabaseGroup implements AutoCloseable {
    private static final long PENDING_POLL_NANOS = TimeUnit.MICROSECONDS.toNanos(500);
    private static final long CONTACT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(25);
    private static final long CONTACT_DELAY_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mStateChanged = mLock.newCondition();
    private final Condition mReplicationWork = mLock.newCondition();
    private final List<DatabaseServer> mServers = new ArrayList<>();
    private final Replication mReplication;
    private final Thread mReplicationThread;
    private Optional<String> mReplicationFailure = Optional.empty();
    private boolean mClosed;

    DatabaseGroup(List<String> names, long lagMillis) {
        long now = System.nanoTime();
        for (String name : names) {
            mServers.add(new DatabaseServer(mServers.size(), name, names.size(), now));
        }
        mReplication =
                new Replication(
                        mServers, TimeUnit.MILLISECONDS.toNanos(lagMillis), CONTACT_INTERVAL_NANOS);
        mReplicationThread = new Thread(this::replicate, "replication-" + names.get(0));
        mReplicationThread.setDaemon(true);
        mReplicationThread.start();
    }

    List<DatabaseServer> servers() {
        return mServers;
    }

    /** Returns the links between servers; use it only inside {@link #updateLocked}. */
    Replication replication() {
        return mReplication;
    }

    /** Returns why replication stopped, when a promotion broke the rules of section 6. */
    Optional<String> replicationFailure() {
        return readLocked(() -> mReplicationFailure);
    }

    long lagMillis(DatabaseServer server) {
        return server.lagMillis(System.nanoTime(), CONTACT_DELAY_TOLERANCE_NANOS);
    }

    /** Runs an action under the lock and wakes everybody who waits for a change. */
    <T> T updateLocked(Supplier<T> action) {
        mLock.lock();
        try {
            T result = action.get();
            mStateChanged.signalAll();
            mReplicationWork.signalAll();
            return result;
        } finally {
            mLock.unlock();
        }
    }

    /** Reads under the lock. */
    <T> T readLocked(Supplier<T> action) {
        mLock.lock();
        try {
            return action.get();
        } finally {
            mLock.unlock();
        }
    }

    /** Waits until a condition holds under the lock; false when the time passes before. */
    boolean await(BooleanSupplier condition, long timeoutNanos) throws InterruptedException {
        long remaining = timeoutNanos;
        mLock.lock();
        try {
            while (!condition.getAsBoolean()) {
                if (remaining <= 0 || mClosed) {
                    return false;
                }
                remaining = mStateChanged.awaitNanos(remaining);
            }
            return true;
        } finally {
            mLock.unlock();
        }
    }

    @Override
    public void close() {
        mLock.lock();
        try {
            mClosed = true;
            mStateChanged.signalAll();
            mReplicationWork.signalAll();
        } finally {
            mLock.unlock();
        }
    }

    private void replicate() {
        mLock.lock();
        try {
            while (!mClosed) {
                if (mReplication.exchangeMessages(System.nanoTime())) {
                    mStateChanged.signalAll();
                } else {
                    mReplicationWork.awaitNanos(
                            mReplication.hasPendingEntries()
                                    ? PENDING_POLL_NANOS
                                    : CONTACT_INTERVAL_NANOS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IllegalStateException e) {
            // A proposer promoted the wrong server; going on would hide which one and when.
            mReplicationFailure = Optional.of(e.getMessage());
            System.err.println("replication stopped: " + e.getMessage());
        } finally {
            mLock.unlock();
        }
    }
}
