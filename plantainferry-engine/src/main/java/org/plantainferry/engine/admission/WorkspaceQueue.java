package org.plantainferry.engine.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Contains the waiting requests of one workspace and tracks the virtual finish time of the first.
 *
 * @param <K> the type of the names of workspaces
 * @param <T> the type of the requests
 */
final class WorkspaceQueue<K, T> {
    /** Contains a waiting request with its deadline. */
    record WaitingRequest<T>(T request, long deadlineNanos) {
        boolean isExpired(long nowNanos) {
            return deadlineNanos - nowNanos <= 0;
        }
    }

    /** Tolerates rounding errors of sums of 1/weight when comparing finish times. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private final K mWorkspace;
    private final Deque<WaitingRequest<T>> mRequests = new ArrayDeque<>();
    private double mWeight;

    /** The virtual start time of the head, or the finish time of the last request if empty. */
    private double mVirtualStart;

    WorkspaceQueue(K workspace, double weight) {
        mWorkspace = workspace;
        mWeight = weight;
    }

    K workspace() {
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

    /** Returns the virtual finish time that a request added now would have. */
    double nextFinish(double virtualTime) {
        double start = isEmpty() ? Math.max(mVirtualStart, virtualTime) : mVirtualStart;
        return start + (mRequests.size() + 1) / mWeight;
    }

    /** Returns how many of the requests finish at or before a virtual time. */
    int countUntil(double finish) {
        double count = Math.floor((finish - mVirtualStart) * mWeight + ROUNDING_TOLERANCE);
        return (int) Math.max(0, Math.min(mRequests.size(), count));
    }

    void add(WaitingRequest<T> request, double virtualTime) {
        if (mRequests.isEmpty()) {
            mVirtualStart = Math.max(mVirtualStart, virtualTime);
        }
        mRequests.addLast(request);
    }

    /** Returns the first request that matches, without removing it. */
    Optional<T> findFirst(Predicate<WaitingRequest<T>> condition) {
        for (WaitingRequest<T> request : mRequests) {
            if (condition.test(request)) {
                return Optional.of(request.request());
            }
        }
        return Optional.empty();
    }

    /** Removes the first request that matches and charges its cost to the workspace. */
    Optional<T> removeFirst(Predicate<WaitingRequest<T>> condition) {
        for (Iterator<WaitingRequest<T>> iterator = mRequests.iterator(); iterator.hasNext(); ) {
            WaitingRequest<T> request = iterator.next();
            if (condition.test(request)) {
                iterator.remove();
                mVirtualStart = headFinish();
                return Optional.of(request.request());
            }
        }
        return Optional.empty();
    }

    /** Removes expired requests at the head without charging their cost; returns their number. */
    int removeExpiredHeads(long nowNanos, List<T> expired) {
        int count = 0;
        while (!mRequests.isEmpty() && mRequests.getFirst().isExpired(nowNanos)) {
            expired.add(mRequests.removeFirst().request());
            count++;
        }
        return count;
    }

    void addAllTo(List<T> requests) {
        mRequests.forEach(waiting -> requests.add(waiting.request()));
    }

    WaitingRequest<T> removeLast() {
        return mRequests.removeLast();
    }

    int removeIf(Predicate<WaitingRequest<T>> condition, List<T> removed) {
        int count = 0;
        for (Iterator<WaitingRequest<T>> iterator = mRequests.iterator(); iterator.hasNext(); ) {
            WaitingRequest<T> request = iterator.next();
            if (condition.test(request)) {
                iterator.remove();
                removed.add(request.request());
                count++;
            }
        }
        return count;
    }
}
