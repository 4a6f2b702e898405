package org.plantainferry.engine.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Predicate;
import org.plantainferry.api.Preconditions;

/**
 * Orders waiting requests by weighted fair queueing among workspaces.
 *
 * <p>The queue is self-clocked: its virtual time is the finish time of the request polled last.
 * Each request costs 1/weight of virtual time. Only the head of each workspace has a finish time,
 * so removing requests and changing weights leaves the order of the others unchanged.
 *
 * @param <K> the type of the names of workspaces
 * @param <T> the type of the requests
 * @since 0.1
 */
public final class FairQueue<K extends Comparable<? super K>, T> {
    /** The maximum number of waiting requests of one workspace. */
    public static final int MAXIMUM_WAITING_PER_WORKSPACE = 64;

    private static final long MINIMUM_RETRY_MILLIS = 1;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final int mTotalLimit;
    private final ServiceIntervalEstimator mInterval;
    private final Map<K, WorkspaceQueue<K, T>> mQueues = new HashMap<>();
    private final Map<K, Double> mWeights = new HashMap<>();
    private final PriorityQueue<WorkspaceQueue<K, T>> mNonEmptyQueues =
            new PriorityQueue<>(FairQueue.<K, T>order());
    private final List<T> mExpired = new ArrayList<>();
    private double mVirtualTime;
    private int mSize;

    /**
     * Creates an empty queue.
     *
     * @param totalLimit the maximum number of waiting requests of all workspaces
     * @param intervalNanos the initial estimate of the time between two polled requests
     */
    public FairQueue(int totalLimit, long intervalNanos) {
        Preconditions.condition(totalLimit >= 1, "totalLimit must be at least 1: " + totalLimit);
        Preconditions.condition(intervalNanos >= 1, "intervalNanos must be at least 1");
        mTotalLimit = totalLimit;
        mInterval = new ServiceIntervalEstimator(intervalNanos);
    }

    private static <K extends Comparable<? super K>, T> Comparator<WorkspaceQueue<K, T>> order() {
        return Comparator.<WorkspaceQueue<K, T>>comparingDouble(WorkspaceQueue::headFinish)
                .thenComparing(WorkspaceQueue::workspace);
    }

    /** Sets the weight of a workspace, which is 1 by default; waiting requests keep their order. */
    public void setWeight(K workspace, double weight) {
        Preconditions.notNull(workspace, "workspace");
        Preconditions.condition(
                weight > 0 && Double.isFinite(weight), "weight must be positive: " + weight);
        mWeights.put(workspace, weight);
        WorkspaceQueue<K, T> queue = mQueues.get(workspace);
        if (queue != null) {
            mNonEmptyQueues.remove(queue);
            queue.setWeight(weight);
            addIfNotEmpty(queue);
        }
    }

    /** Removes the weight of a workspace that no longer exists. */
    public void removeWeight(K workspace) {
        setWeight(workspace, 1);
        mWeights.remove(workspace);
    }

    /** Adds a request, or refuses it if a limit is reached or it cannot be served in time. */
    public OfferResult<T> offer(K workspace, T request, long deadlineNanos, long nowNanos) {
        Preconditions.notNull(workspace, "workspace");
        Preconditions.notNull(request, "request");
        long remaining = deadlineNanos - nowNanos;
        WorkspaceQueue<K, T> queue = mQueues.get(workspace);
        if (queue != null && queue.size() >= MAXIMUM_WAITING_PER_WORKSPACE) {
            collectExpired(nowNanos);
        }
        int waiting = queue == null ? 0 : queue.size();
        if (waiting >= MAXIMUM_WAITING_PER_WORKSPACE) {
            return refused(
                    OfferResult.Reason.WORKSPACE_LIMIT, workspaceIntervalNanos(queue, nowNanos));
        }
        long wait = estimatedWaitNanos(workspace, nowNanos);
        if (remaining <= 0 || wait > remaining) {
            return refused(OfferResult.Reason.WAIT_TOO_LONG, wait - Math.max(0, remaining));
        }
        Optional<T> displaced = Optional.empty();
        if (mSize >= mTotalLimit) {
            collectExpired(nowNanos);
        }
        if (mSize >= mTotalLimit) {
            displaced = displaceLongestQueue(workspace);
            if (displaced.isEmpty()) {
                return refused(OfferResult.Reason.TOTAL_LIMIT, mInterval.untilNextNanos(nowNanos));
            }
        }
        addWaiting(workspace, request, deadlineNanos, nowNanos);
        return new OfferResult.Queued<>(displaced);
    }

    /**
     * Adds a request without a check of limits and waits, for a caller that bounds several queues
     * together.
     */
    public void add(K workspace, T request, long deadlineNanos, long nowNanos) {
        Preconditions.notNull(workspace, "workspace");
        Preconditions.notNull(request, "request");
        addWaiting(workspace, request, deadlineNanos, nowNanos);
    }

    /**
     * Returns the request that {@link #poll(long, Predicate)} would return, without removing it.
     */
    public Optional<T> peek(long nowNanos, Predicate<? super T> condition) {
        Preconditions.notNull(condition, "condition");
        List<WorkspaceQueue<K, T>> queues = new ArrayList<>(mNonEmptyQueues);
        queues.sort(mNonEmptyQueues.comparator());
        for (WorkspaceQueue<K, T> queue : queues) {
            Optional<T> found =
                    queue.findFirst(
                            waiting ->
                                    !waiting.isExpired(nowNanos)
                                            && condition.test(waiting.request()));
            if (found.isPresent()) {
                return found;
            }
        }
        return Optional.empty();
    }

    /** Removes and returns the last request of a workspace. */
    public Optional<T> removeLast(K workspace) {
        WorkspaceQueue<K, T> queue = mQueues.get(workspace);
        if (queue == null || queue.isEmpty()) {
            return Optional.empty();
        }
        T last = removeLastOf(queue);
        resetIfEmpty();
        return Optional.of(last);
    }

    /** Returns the waiting requests, those of each workspace in order of arrival. */
    public List<T> waiting() {
        List<T> waiting = new ArrayList<>(mSize);
        mNonEmptyQueues.forEach(queue -> queue.addAllTo(waiting));
        return waiting;
    }

    /** Returns the names of the workspaces that have waiting requests. */
    public List<K> workspaces() {
        return mNonEmptyQueues.stream().map(WorkspaceQueue::workspace).toList();
    }

    /** Removes and returns the next request that has not expired. */
    public Optional<T> poll(long nowNanos) {
        return poll(nowNanos, request -> true);
    }

    /**
     * Removes and returns the next request that has not expired and that matches.
     *
     * <p>A server with free capacity polls only requests that it can serve, so that writes waiting
     * for a primary do not delay the reads behind them. Expired requests that are encountered are
     * returned by the next {@link #removeExpired}.
     */
    public Optional<T> poll(long nowNanos, Predicate<? super T> condition) {
        Preconditions.notNull(condition, "condition");
        List<WorkspaceQueue<K, T>> visited = new ArrayList<>();
        Optional<T> taken = Optional.empty();
        while (taken.isEmpty() && !mNonEmptyQueues.isEmpty()) {
            WorkspaceQueue<K, T> queue = mNonEmptyQueues.poll();
            mSize -= queue.removeExpiredHeads(nowNanos, mExpired);
            double finish = queue.headFinish();
            taken =
                    queue.removeFirst(
                            waiting ->
                                    !waiting.isExpired(nowNanos)
                                            && condition.test(waiting.request()));
            if (taken.isPresent()) {
                mVirtualTime = Math.max(mVirtualTime, finish);
                mSize--;
                mInterval.onServed(nowNanos, mSize > 0);
            }
            visited.add(queue);
        }
        visited.forEach(this::addIfNotEmpty);
        resetIfEmpty();
        return taken;
    }

    /** Removes and returns all requests whose deadline has passed, so that they can be answered. */
    public List<T> removeExpired(long nowNanos) {
        collectExpired(nowNanos);
        List<T> expired = new ArrayList<>(mExpired);
        mExpired.clear();
        return expired;
    }

    /** Removes and returns all requests that match, such as those of a withdrawn key. */
    public List<T> removeIf(Predicate<? super T> condition) {
        Preconditions.notNull(condition, "condition");
        List<T> removed = new ArrayList<>();
        removeRequests(waiting -> condition.test(waiting.request()), removed);
        return removed;
    }

    /** Returns the estimated wait of a new request of the workspace, in nanoseconds. */
    public long estimatedWaitNanos(K workspace, long nowNanos) {
        return mSize == 0
                ? 0
                : requestsAhead(workspace) * mInterval.intervalNanos()
                        + mInterval.untilNextNanos(nowNanos);
    }

    /** Returns how many waiting requests would be polled before a new one of the workspace. */
    public long requestsAhead(K workspace) {
        WorkspaceQueue<K, T> own = mQueues.get(workspace);
        double finish =
                own == null ? mVirtualTime + 1 / weight(workspace) : own.nextFinish(mVirtualTime);
        long requestsAhead = 0;
        for (WorkspaceQueue<K, T> queue : mNonEmptyQueues) {
            requestsAhead += queue.countUntil(finish);
        }
        return requestsAhead;
    }

    /** Returns the number of waiting requests. */
    public int size() {
        return mSize;
    }

    /** Returns the number of waiting requests of a workspace. */
    public int size(K workspace) {
        WorkspaceQueue<K, T> queue = mQueues.get(workspace);
        return queue == null ? 0 : queue.size();
    }

    private void addWaiting(K workspace, T request, long deadlineNanos, long nowNanos) {
        WorkspaceQueue<K, T> queue =
                mQueues.computeIfAbsent(
                        workspace, name -> new WorkspaceQueue<>(name, weight(name)));
        if (mSize == 0) {
            mInterval.onBusy(nowNanos);
        }
        boolean wasEmpty = queue.isEmpty();
        queue.add(new WorkspaceQueue.WaitingRequest<>(request, deadlineNanos), mVirtualTime);
        if (wasEmpty) {
            mNonEmptyQueues.add(queue);
        }
        mSize++;
    }

    private Optional<T> displaceLongestQueue(K workspace) {
        WorkspaceQueue<K, T> longest = null;
        for (WorkspaceQueue<K, T> queue : mNonEmptyQueues) {
            if (longest == null || queue.normalizedSize(0) > longest.normalizedSize(0)) {
                longest = queue;
            }
        }
        double own = (size(workspace) + 1) / weight(workspace);
        if (longest == null
                || longest.workspace().equals(workspace)
                || own > longest.normalizedSize(-1)) {
            return Optional.empty();
        }
        return Optional.of(removeLastOf(longest));
    }

    private T removeLastOf(WorkspaceQueue<K, T> queue) {
        mNonEmptyQueues.remove(queue);
        T last = queue.removeLast().request();
        mSize--;
        addIfNotEmpty(queue);
        return last;
    }

    private void collectExpired(long nowNanos) {
        removeRequests(waiting -> waiting.isExpired(nowNanos), mExpired);
    }

    private void removeRequests(
            Predicate<WorkspaceQueue.WaitingRequest<T>> condition, List<T> removed) {
        List<WorkspaceQueue<K, T>> queues = new ArrayList<>(mNonEmptyQueues);
        mNonEmptyQueues.clear();
        for (WorkspaceQueue<K, T> queue : queues) {
            mSize -= queue.removeIf(condition, removed);
            addIfNotEmpty(queue);
        }
        resetIfEmpty();
    }

    private void addIfNotEmpty(WorkspaceQueue<K, T> queue) {
        if (!queue.isEmpty()) {
            mNonEmptyQueues.add(queue);
        }
    }

    private void resetIfEmpty() {
        if (mSize > 0) {
            return;
        }
        mInterval.onIdle();
        mQueues.clear();
        mVirtualTime = 0;
    }

    private double weight(K workspace) {
        return mWeights.getOrDefault(workspace, 1.0);
    }

    private long workspaceIntervalNanos(WorkspaceQueue<K, T> queue, long nowNanos) {
        double activeWeight = 0;
        for (WorkspaceQueue<K, T> active : mNonEmptyQueues) {
            activeWeight += active.weight();
        }
        double weightRatio = activeWeight / queue.weight();
        return (long) (mInterval.untilNextNanos(nowNanos) * Math.max(1, weightRatio));
    }

    private static <T> OfferResult<T> refused(OfferResult.Reason reason, long afterNanos) {
        long millis = afterNanos / NANOS_PER_MILLI + 1;
        return new OfferResult.Refused<>(reason, Math.max(MINIMUM_RETRY_MILLIS, millis));
    }
}
