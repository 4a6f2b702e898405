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
    private static final long PENDING_WAIT_NANOS = TimeUnit.MICROSECONDS.toNanos(500);
    private static final long CONTACT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(25);
    private static final long CONTACT_DELAY_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final ReentrantLock mLock = new ReentrantLock();
    private final Condition mChanged = mLock.newCondition();
    private final Condition mAppended = mLock.newCondition();
    private final List<DatabaseServer> mServers = new ArrayList<>();
    private final Replication mReplication;
    private final Thread mThread;
    private Optional<String> mFailure = Optional.empty();
    private boolean mClosed;

    DatabaseGroup(List<String> names, long lagMillis) {
        long now = System.nanoTime();
        for (String name : names) {
            mServers.add(new DatabaseServer(mServers.size(), name, names.size(), now));
        }
        mReplication =
                new Replication(
                        mServers, TimeUnit.MILLISECONDS.toNanos(lagMillis), CONTACT_INTERVAL_NANOS);
        mThread = new Thread(this::replicate, "replication-" + names.get(0));
        mThread.setDaemon(true);
        mThread.start();
    }

    List<DatabaseServer> servers() {
        return mServers;
    }

    /** Returns the links between servers; use it only inside {@link #locked}. */
    Replication replication() {
        return mReplication;
    }

    /** Returns why replication stopped, when a promotion broke the rules of section 6. */
    Optional<String> failure() {
        return read(() -> mFailure);
    }

    long lagMillis(DatabaseServer server) {
        return server.lagMillis(System.nanoTime(), CONTACT_DELAY_TOLERANCE_NANOS);
    }

    /** Runs an action under the lock and wakes everybody who waits for a change. */
    <T> T locked(Supplier<T> action) {
        mLock.lock();
        try {
            T result = action.get();
            mChanged.signalAll();
            mAppended.signalAll();
            return result;
        } finally {
            mLock.unlock();
        }
    }

    /** Reads under the lock. */
    <T> T read(Supplier<T> action) {
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
                remaining = mChanged.awaitNanos(remaining);
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
            mChanged.signalAll();
            mAppended.signalAll();
        } finally {
            mLock.unlock();
        }
    }

    private void replicate() {
        mLock.lock();
        try {
            while (!mClosed) {
                if (mReplication.step(System.nanoTime())) {
                    mChanged.signalAll();
                } else {
                    mAppended.awaitNanos(
                            mReplication.isPending() ? PENDING_WAIT_NANOS : CONTACT_INTERVAL_NANOS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IllegalStateException e) {
            // A proposer promoted the wrong server; going on would hide which one and when.
            mFailure = Optional.of(e.getMessage());
            System.err.println("replication stopped: " + e.getMessage());
        } finally {
            mLock.unlock();
        }
    }
}
