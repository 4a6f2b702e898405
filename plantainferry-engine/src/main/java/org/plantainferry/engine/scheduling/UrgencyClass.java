package org.plantainferry.engine.scheduling;

import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.plantainferry.engine.admission.FairQueue;
import org.plantainferry.engine.admission.ServiceIntervalEstimator;

/**
 * Holds the waiting statements of one priority that are all in time or all late, in fair order
 * among workspaces.
 */
final class UrgencyClass<T> {
    private final int mPriority;
    private final boolean mLate;
    private final FairQueue<String, WaitingStatement<T>> mQueue;
    private final ServiceIntervalEstimator mInterval;
    // No statement becomes late before this time; it may be too early.
    private long mNextLateNanos;
    private int mPassedOver;

    UrgencyClass(int priority, boolean late, int limit, long intervalNanos) {
        mPriority = priority;
        mLate = late;
        mQueue = new FairQueue<>(limit, intervalNanos);
        mInterval = new ServiceIntervalEstimator(intervalNanos);
    }

    int priority() {
        return mPriority;
    }

    boolean isLate() {
        return mLate;
    }

    int size() {
        return mQueue.size();
    }

    boolean isEmpty() {
        return mQueue.size() == 0;
    }

    int size(String workspace) {
        return mQueue.size(workspace);
    }

    List<WaitingStatement<T>> waiting() {
        return mQueue.waiting();
    }

    List<String> workspaces() {
        return mQueue.workspaces();
    }

    /** Returns how many turns in a row other classes have had while statements waited here. */
    int passedOver() {
        return mPassedOver;
    }

    void onPassedOver() {
        mPassedOver++;
    }

    /** Records that this class has had a turn. */
    void onTurn() {
        mPassedOver = 0;
    }

    void add(WaitingStatement<T> waiting, long nowNanos) {
        long lateNanos = waiting.urgency().objectiveNanos() - waiting.serviceNanos();
        if (isEmpty()) {
            mInterval.onBusy(nowNanos);
            mPassedOver = 0;
            mNextLateNanos = lateNanos;
        } else if (lateNanos - mNextLateNanos < 0) {
            mNextLateNanos = lateNanos;
        }
        mQueue.add(waiting.workspace(), waiting, waiting.urgency().deadlineNanos(), nowNanos);
    }

    Optional<WaitingStatement<T>> peek(long nowNanos, Predicate<WaitingStatement<T>> condition) {
        return mQueue.peek(nowNanos, condition);
    }

    Optional<WaitingStatement<T>> poll(long nowNanos, Predicate<WaitingStatement<T>> condition) {
        Optional<WaitingStatement<T>> taken = mQueue.poll(nowNanos, condition);
        if (taken.isPresent()) {
            mPassedOver = 0;
            mInterval.onServed(nowNanos, !isEmpty());
        }
        return taken;
    }

    Optional<WaitingStatement<T>> removeLast(String workspace) {
        return afterRemoval(mQueue.removeLast(workspace));
    }

    List<WaitingStatement<T>> removeExpired(long nowNanos) {
        return afterRemoval(mQueue.removeExpired(nowNanos));
    }

    List<WaitingStatement<T>> removeIf(Predicate<WaitingStatement<T>> condition) {
        return afterRemoval(mQueue.removeIf(condition));
    }

    private <R> R afterRemoval(R removed) {
        if (isEmpty()) {
            mInterval.onIdle();
        }
        return removed;
    }

    /** Removes and returns the statements that have become late. */
    List<WaitingStatement<T>> removeLate(long nowNanos) {
        if (mLate || isEmpty() || mNextLateNanos - nowNanos >= 0) {
            return List.of();
        }
        List<WaitingStatement<T>> late = removeIf(waiting -> waiting.isLate(nowNanos));
        mNextLateNanos = nowNanos;
        waiting().stream()
                .mapToLong(waiting -> waiting.urgency().objectiveNanos() - waiting.serviceNanos())
                .map(lateNanos -> lateNanos - nowNanos)
                .min()
                .ifPresent(remaining -> mNextLateNanos = nowNanos + remaining);
        return late;
    }

    /**
     * Returns the estimated wait of a new statement, in nanoseconds.
     *
     * @param maximumIntervalNanos the greatest time between two turns of this class
     */
    long estimatedWaitNanos(String workspace, long nowNanos, long maximumIntervalNanos) {
        if (isEmpty()) {
            return 0;
        }
        return waitNanos(mQueue.requestsAhead(workspace), nowNanos, maximumIntervalNanos);
    }

    private long waitNanos(long ahead, long nowNanos, long maximumIntervalNanos) {
        long interval = Math.min(maximumIntervalNanos, mInterval.intervalNanos());
        return ahead * interval
                + Math.min(maximumIntervalNanos, mInterval.untilNextNanos(nowNanos));
    }

    /**
     * Removes and returns the statements that by estimate cannot start before their deadline.
     *
     * @param maximumIntervalNanos the greatest time between two turns of this class
     * @param othersFirstNanos the time that more urgent statements take before the next turn
     */
    List<WaitingStatement<T>> removeHopeless(
            long nowNanos, long maximumIntervalNanos, long othersFirstNanos) {
        Map<String, List<WaitingStatement<T>>> byWorkspace = new LinkedHashMap<>();
        for (WaitingStatement<T> waiting : waiting()) {
            byWorkspace.computeIfAbsent(waiting.workspace(), key -> new ArrayList<>()).add(waiting);
        }
        Set<WaitingStatement<T>> hopeless = Collections.newSetFromMap(new IdentityHashMap<>());
        int longest = byWorkspace.values().stream().mapToInt(List::size).max().orElse(0);
        long ahead = 0;
        // Statements leave about one by one for each workspace in turn.
        for (int round = 0; round < longest; round++) {
            for (List<WaitingStatement<T>> statements : byWorkspace.values()) {
                if (round >= statements.size()) {
                    continue;
                }
                WaitingStatement<T> waiting = statements.get(round);
                long wait =
                        Math.max(
                                othersFirstNanos, waitNanos(ahead, nowNanos, maximumIntervalNanos));
                if (waiting.urgency().deadlineNanos() - nowNanos - wait < 0) {
                    hopeless.add(waiting);
                } else {
                    ahead++;
                }
            }
        }
        return hopeless.isEmpty() ? List.of() : removeIf(hopeless::contains);
    }
}
