package org.plantainferry.engine.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.plantainferry.api.WorkspaceName;

/** Holds the waiting requests of one workspace and the virtual finish time of the first. */
final class WorkspaceQueue<T> {
    /** Holds a waiting request with its deadline. */
    record WaitingRequest<T>(T request, long deadlineNanos) {
        boolean isExpired(long nowNanos) {
            return deadlineNanos - nowNanos <= 0;
        }
    }

    /** Absorbs the rounding of sums of 1/weight when finish times are compared. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private final WorkspaceName mWorkspace;
    private final Deque<WaitingRequest<T>> mRequests = new ArrayDeque<>();
    private double mWeight;

    /** The virtual time at which the head starts, or at which the last request finished. */
    private double mVirtualStart;

    WorkspaceQueue(WorkspaceName workspace, double weight) {
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
        return mRequests.size();
    }

    boolean isEmpty() {
        return mRequests.isEmpty();
    }

    double normalizedSize(int change) {
        return (mRequests.size() + change) / mWeight;
    }

    double headFinish() {
        return mVirtualStart + 1 / mWeight;
    }

    /** Returns the finish time that a request added now would have. */
    double nextFinish(double virtualTime) {
        double start = isEmpty() ? Math.max(mVirtualStart, virtualTime) : mVirtualStart;
        return start + (mRequests.size() + 1) / mWeight;
    }

    /** Returns how many of the requests finish at or before a virtual time. */
    int countUntil(double finish) {
        double count = Math.floor((finish - mVirtualStart) * mWeight + ROUNDING_TOLERANCE);
        return (int) Math.max(0, Math.min(mRequests.size(), count));
    }

    void add(WaitingRequest<T> entry, double virtualTime) {
        if (mRequests.isEmpty()) {
            mVirtualStart = Math.max(mVirtualStart, virtualTime);
        }
        mRequests.addLast(entry);
    }

    /** Removes the first request that matches and charges its cost to the workspace. */
    Optional<T> removeFirst(Predicate<WaitingRequest<T>> condition) {
        for (Iterator<WaitingRequest<T>> i = mRequests.iterator(); i.hasNext(); ) {
            WaitingRequest<T> entry = i.next();
            if (condition.test(entry)) {
                i.remove();
                mVirtualStart = headFinish();
                return Optional.of(entry.request());
            }
        }
        return Optional.empty();
    }

    /** Removes expired requests at the head without charging for them; returns their number. */
    int removeExpiredHeads(long nowNanos, List<T> expired) {
        int count = 0;
        while (!mRequests.isEmpty() && mRequests.getFirst().isExpired(nowNanos)) {
            expired.add(mRequests.removeFirst().request());
            count++;
        }
        return count;
    }

    WaitingRequest<T> removeLast() {
        return mRequests.removeLast();
    }

    int removeIf(Predicate<WaitingRequest<T>> condition, List<T> removed) {
        int count = 0;
        for (Iterator<WaitingRequest<T>> i = mRequests.iterator(); i.hasNext(); ) {
            WaitingRequest<T> entry = i.next();
            if (condition.test(entry)) {
                i.remove();
                removed.add(entry.request());
                count++;
            }
        }
        return count;
    }
}
