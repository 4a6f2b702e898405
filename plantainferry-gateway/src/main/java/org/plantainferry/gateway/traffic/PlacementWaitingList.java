package org.plantainferry.gateway.traffic;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.plantainferry.engine.scheduling.Urgency;

/**
 * Holds the requests of an instance for which no server can be chosen yet.
 *
 * <p>An event wakes all of them, and one timer those that have waited for as long as they asked;
 * the most urgent are first. Not thread-safe: used by the traffic thread only.
 */
final class PlacementWaitingList {
    // Requests whose time differs by less are woken together, in order of urgency.
    private static final long COALESCING_NANOS = TimeUnit.MILLISECONDS.toNanos(3);

    private final EventLoop mLoop;
    private final LongSupplier mClock;
    private final Set<Entry> mEntries = new LinkedHashSet<>();
    private Optional<ScheduledFuture<?>> mTimer = Optional.empty();
    private long mTimerDueNanos;
    private boolean mWakeScheduled;

    /** Holds a waiting request. */
    static final class Entry {
        private final Urgency mUrgency;
        private final long mDueNanos;
        private final Runnable mAction;

        private Entry(Urgency urgency, long dueNanos, Runnable action) {
            mUrgency = urgency;
            mDueNanos = dueNanos;
            mAction = action;
        }
    }

    PlacementWaitingList(EventLoop loop, LongSupplier clock) {
        mLoop = loop;
        mClock = clock;
    }

    /** Runs an action at the next event, or after a time if there is none. */
    Entry await(Urgency urgency, long millis, Runnable action) {
        long due = mClock.getAsLong() + TimeUnit.MILLISECONDS.toNanos(millis);
        Entry entry = new Entry(urgency, due, action);
        mEntries.add(entry);
        scheduleTimer(due);
        return entry;
    }

    /** Removes a request; does nothing if its action has run. */
    void cancel(Entry entry) {
        mEntries.remove(entry);
    }

    /** Wakes all requests after the current task, because a server may have become usable. */
    void wake() {
        if (mWakeScheduled || mEntries.isEmpty()) {
            return;
        }
        mWakeScheduled = true;
        mLoop.execute(
                () -> {
                    mWakeScheduled = false;
                    run(entry -> true);
                });
    }

    private void scheduleTimer(long dueNanos) {
        if (mTimer.isPresent() && mTimerDueNanos - dueNanos <= 0) {
            return;
        }
        mTimer.ifPresent(timer -> timer.cancel(false));
        mTimerDueNanos = dueNanos;
        mTimer =
                Optional.of(
                        mLoop.schedule(
                                this::onTimer,
                                Math.max(0, dueNanos - mClock.getAsLong()),
                                TimeUnit.NANOSECONDS));
    }

    private void onTimer() {
        mTimer = Optional.empty();
        long until = mClock.getAsLong() + COALESCING_NANOS;
        run(entry -> entry.mDueNanos - until <= 0);
        long now = mClock.getAsLong();
        mEntries.stream()
                .mapToLong(entry -> entry.mDueNanos - now)
                .min()
                .ifPresent(remaining -> scheduleTimer(now + remaining));
    }

    private void run(Predicate<Entry> condition) {
        List<Entry> woken = new ArrayList<>();
        mEntries.stream().filter(condition).forEach(woken::add);
        woken.sort(
                Comparator.comparing(
                        entry -> entry.mUrgency, Urgency.mostUrgentFirst(mClock.getAsLong())));
        for (Entry entry : woken) {
            // An earlier one may have cancelled it.
            if (mEntries.remove(entry)) {
                entry.mAction.run();
            }
        }
    }
}
