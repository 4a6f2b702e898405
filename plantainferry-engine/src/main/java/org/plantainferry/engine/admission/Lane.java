package org.plantainferry.engine.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.plantainferry.api.WorkspaceName;

/** Holds the waiting requests of one workspace and the virtual finish time of the first. */
final class Lane<T> {
    /** Holds a waiting request with its deadline. */
    record Entry<T>(T request, long deadlineNanos) {
        boolean isExpired(long nowNanos) {
            return deadlineNanos - nowNanos <= 0;
        }
    }

    /** Absorbs the rounding of sums of 1/weight when finish times are compared. */
    private static final double ROUNDING = 1e-9;

    private final WorkspaceName mWorkspace;
    private final Deque<Entry<T>> mEntries = new ArrayDeque<>();
    private double mWeight;

    /** The virtual time at which the head starts, or at which the last request finished. */
    private double mStart;

    Lane(WorkspaceName workspace, double weight) {
        mWorkspace = workspace;
        mWeight = weight;
    }

    WorkspaceName workspace() {
        return mWorkspace;
    }

    double weight() {
        return mWeight;
    }

    void setWeight(double weight) {
        mWeight = weight;
    }

    int size() {
        return mEntries.size();
    }

    boolean isEmpty() {
        return mEntries.isEmpty();
    }

    double normalizedSize(int change) {
        return (mEntries.size() + change) / mWeight;
    }

    double headFinish() {
        return mStart + 1 / mWeight;
    }

    /** Returns the finish time that a request added now would have. */
    double nextFinish(double virtualTime) {
        double start = isEmpty() ? Math.max(mStart, virtualTime) : mStart;
        return start + (mEntries.size() + 1) / mWeight;
    }

    /** Returns how many of the requests finish at or before a virtual time. */
    int countUntil(double finish) {
        double count = Math.floor((finish - mStart) * mWeight + ROUNDING);
        return (int) Math.max(0, Math.min(mEntries.size(), count));
    }

    void add(Entry<T> entry, double virtualTime) {
        if (mEntries.isEmpty()) {
            mStart = Math.max(mStart, virtualTime);
        }
        mEntries.addLast(entry);
    }

    /** Removes the first request that matches and charges its cost to the workspace. */
    Optional<T> serveFirst(Predicate<Entry<T>> condition) {
        for (Iterator<Entry<T>> i = mEntries.iterator(); i.hasNext(); ) {
            Entry<T> entry = i.next();
            if (condition.test(entry)) {
                i.remove();
                mStart = headFinish();
                return Optional.of(entry.request());
            }
        }
        return Optional.empty();
    }

    /** Removes expired requests at the head without charging for them; returns their number. */
    int dropExpiredHeads(long nowNanos, List<T> expired) {
        int count = 0;
        while (!mEntries.isEmpty() && mEntries.getFirst().isExpired(nowNanos)) {
            expired.add(mEntries.removeFirst().request());
            count++;
        }
        return count;
    }

    Entry<T> removeLast() {
        return mEntries.removeLast();
    }

    int removeIf(Predicate<Entry<T>> condition, List<T> removed) {
        int count = 0;
        for (Iterator<Entry<T>> i = mEntries.iterator(); i.hasNext(); ) {
            Entry<T> entry = i.next();
            if (condition.test(entry)) {
                i.remove();
                removed.add(entry.request());
                count++;
            }
        }
        return count;
    }
}
