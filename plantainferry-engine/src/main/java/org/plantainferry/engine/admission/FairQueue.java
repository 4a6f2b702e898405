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
import org.plantainferry.api.WorkspaceName;

/**
 * Orders waiting requests by weighted fair queueing among workspaces.
 *
 * <p>The queue is self-clocked: its virtual time is the finish time of the request polled last.
 * Each request costs 1/weight of virtual time. Only the head of each workspace has a finish time,
 * so removing requests and changing weights leaves the order of the others unchanged.
 *
 * @param <T> the type of the requests
 * @since 0.1
 */
public final class FairQueue<T> {
    /** The maximum number of waiting requests of one workspace. */
    public static final int MAXIMUM_WAITING_PER_WORKSPACE = 64;

    private static final long MINIMUM_RETRY_MILLIS = 1;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final int mTotalLimit;
    private final ServiceIntervalEstimator mInterval;
    private final Map<WorkspaceName, WorkspaceQueue<T>> mQueues = new HashMap<>();
    private final Map<WorkspaceName, Double> mWeights = new HashMap<>();
    private final PriorityQueue<WorkspaceQueue<T>> mNonEmptyQueues =
            new PriorityQueue<>(
                    Comparator.<WorkspaceQueue<T>>comparingDouble(WorkspaceQueue::headFinish)
                            .thenComparing(WorkspaceQueue::workspace));
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

    /** Sets the weight of a workspace, which is 1 by default; waiting requests keep their order. */
    public void setWeight(WorkspaceName workspace, double weight) {
        Preconditions.notNull(workspace, "workspace");
        Preconditions.condition(
                weight > 0 && Double.isFinite(weight), "weight must be positive: " + weight);
        mWeights.put(workspace, weight);
        WorkspaceQueue<T> queue = mQueues.get(workspace);
        if (queue != null) {
            mNonEmptyQueues.remove(queue);
            queue.setWeight(weight);
            addIfNotEmpty(queue);
        }
    }

    /** Removes the weight of a workspace that no longer exists. */
    public void removeWeight(WorkspaceName workspace) {
        setWeight(workspace, 1);
        mWeights.remove(workspace);
    }

    /** Adds a request, or refuses it if a limit is reached or it cannot be served in time. */
    public OfferResult<T> offer(
            WorkspaceName workspace, T request, long deadlineNanos, long nowNanos) {
        Preconditions.notNull(workspace, "workspace");
        Preconditions.notNull(request, "request");
        long remaining = deadlineNanos - nowNanos;
        WorkspaceQueue<T> queue = mQueues.get(workspace);
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
        add(workspace, request, deadlineNanos, nowNanos);
        return new OfferResult.Queued<>(displaced);
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
        List<WorkspaceQueue<T>> visited = new ArrayList<>();
        Optional<T> taken = Optional.empty();
        while (taken.isEmpty() && !mNonEmptyQueues.isEmpty()) {
            WorkspaceQueue<T> queue = mNonEmptyQueues.poll();
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
    public long estimatedWaitNanos(WorkspaceName workspace, long nowNanos) {
        if (mSize == 0) {
            return 0;
        }
        WorkspaceQueue<T> own = mQueues.get(workspace);
        double finish =
                own == null ? mVirtualTime + 1 / weight(workspace) : own.nextFinish(mVirtualTime);
        long requestsAhead = 0;
        for (WorkspaceQueue<T> queue : mNonEmptyQueues) {
            requestsAhead += queue.countUntil(finish);
        }
        return requestsAhead * mInterval.intervalNanos() + mInterval.untilNextNanos(nowNanos);
    }

    /** Returns the number of waiting requests. */
    public int size() {
        return mSize;
    }

    /** Returns the number of waiting requests of a workspace. */
    public int size(WorkspaceName workspace) {
        WorkspaceQueue<T> queue = mQueues.get(workspace);
        return queue == null ? 0 : queue.size();
    }

    private void add(WorkspaceName workspace, T request, long deadlineNanos, long nowNanos) {
        WorkspaceQueue<T> queue =
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

    private Optional<T> displaceLongestQueue(WorkspaceName workspace) {
        WorkspaceQueue<T> longest = null;
        for (WorkspaceQueue<T> queue : mNonEmptyQueues) {
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
        mNonEmptyQueues.remove(longest);
        T displaced = longest.removeLast().request();
        mSize--;
        addIfNotEmpty(longest);
        return Optional.of(displaced);
    }

    private void collectExpired(long nowNanos) {
        removeRequests(waiting -> waiting.isExpired(nowNanos), mExpired);
    }

    private void removeRequests(
            Predicate<WorkspaceQueue.WaitingRequest<T>> condition, List<T> removed) {
        List<WorkspaceQueue<T>> queues = new ArrayList<>(mNonEmptyQueues);
        mNonEmptyQueues.clear();
        for (WorkspaceQueue<T> queue : queues) {
            mSize -= queue.removeIf(condition, removed);
            addIfNotEmpty(queue);
        }
        resetIfEmpty();
    }

    private void addIfNotEmpty(WorkspaceQueue<T> queue) {
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

    private double weight(WorkspaceName workspace) {
        return mWeights.getOrDefault(workspace, 1.0);
    }

    private long workspaceIntervalNanos(WorkspaceQueue<T> queue, long nowNanos) {
        double activeWeight = 0;
        for (WorkspaceQueue<T> active : mNonEmptyQueues) {
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
