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
 * Orders waiting requests by weighted fair queueing over workspaces.
 *
 * <p>The queue is self-clocked: its virtual time is the finish time of the request taken last. Each
 * request costs 1/weight of virtual time. Only the head of each workspace has a finish time, so
 * taking out requests and changing weights leaves the order of the others unchanged.
 *
 * @param <T> the type of the requests
 * @since 0.1
 */
public final class FairQueue<T> {
    /** Waiting requests of one workspace (design page, section 10). */
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
     * @param totalLimit waiting requests of all workspaces together
     * @param intervalNanos the first estimate of the time between two requests taken out
     */
    public FairQueue(int totalLimit, long intervalNanos) {
        Preconditions.condition(totalLimit >= 1, "totalLimit must be at least 1: " + totalLimit);
        Preconditions.condition(intervalNanos >= 1, "intervalNanos must be at least 1");
        mTotalLimit = totalLimit;
        mInterval = new ServiceIntervalEstimator(intervalNanos);
    }

    /**
     * Sets the weight of a workspace, which is 1 otherwise; requests that wait keep their order.
     */
    public void setWeight(WorkspaceName workspace, double weight) {
        Preconditions.notNull(workspace, "workspace");
        Preconditions.condition(
                weight > 0 && Double.isFinite(weight), "weight must be positive: " + weight);
        mWeights.put(workspace, weight);
        WorkspaceQueue<T> lane = mQueues.get(workspace);
        if (lane != null) {
            mNonEmptyQueues.remove(lane);
            lane.setWeight(weight);
            addIfNotEmpty(lane);
        }
    }

    /** Forgets the weight of a workspace that no longer exists. */
    public void removeWeight(WorkspaceName workspace) {
        setWeight(workspace, 1);
        mWeights.remove(workspace);
    }

    /** Adds a request, or refuses it at once when it cannot be served in time. */
    public OfferResult<T> offer(
            WorkspaceName workspace, T request, long deadlineNanos, long nowNanos) {
        Preconditions.notNull(workspace, "workspace");
        Preconditions.notNull(request, "request");
        long remaining = deadlineNanos - nowNanos;
        WorkspaceQueue<T> lane = mQueues.get(workspace);
        if (lane != null && lane.size() >= MAXIMUM_WAITING_PER_WORKSPACE) {
            collectExpired(nowNanos);
        }
        int waiting = lane == null ? 0 : lane.size();
        if (waiting >= MAXIMUM_WAITING_PER_WORKSPACE) {
            return refused(
                    OfferResult.Reason.WORKSPACE_LIMIT, workspaceIntervalNanos(lane, nowNanos));
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

    /** Takes out the next request that has not expired. */
    public Optional<T> poll(long nowNanos) {
        return poll(nowNanos, request -> true);
    }

    /**
     * Takes out the next request that has not expired and that matches.
     *
     * <p>A server that has room takes only what it can serve; writes that wait for a primary do not
     * hold up the reads behind them. Expired requests met on the way are returned by the next
     * {@link #removeExpired}.
     */
    public Optional<T> poll(long nowNanos, Predicate<? super T> condition) {
        Preconditions.notNull(condition, "condition");
        List<WorkspaceQueue<T>> skipped = new ArrayList<>();
        Optional<T> taken = Optional.empty();
        while (taken.isEmpty() && !mNonEmptyQueues.isEmpty()) {
            WorkspaceQueue<T> lane = mNonEmptyQueues.poll();
            mSize -= lane.removeExpiredHeads(nowNanos, mExpired);
            double finish = lane.headFinish();
            taken = lane.removeFirst(e -> !e.isExpired(nowNanos) && condition.test(e.request()));
            if (taken.isPresent()) {
                mVirtualTime = Math.max(mVirtualTime, finish);
                mSize--;
                mInterval.onServed(nowNanos, mSize > 0);
            }
            skipped.add(lane);
        }
        skipped.forEach(this::addIfNotEmpty);
        resetIfEmpty();
        return taken;
    }

    /** Takes out all requests whose deadline has passed, for an answer to their callers. */
    public List<T> removeExpired(long nowNanos) {
        collectExpired(nowNanos);
        List<T> expired = new ArrayList<>(mExpired);
        mExpired.clear();
        return expired;
    }

    /** Takes out all requests that match, such as those of a withdrawn key, and returns them. */
    public List<T> removeIf(Predicate<? super T> condition) {
        Preconditions.notNull(condition, "condition");
        List<T> removed = new ArrayList<>();
        removeRequests(entry -> condition.test(entry.request()), removed);
        return removed;
    }

    /** Returns how long a request of the workspace that came now would wait, in nanoseconds. */
    public long estimatedWaitNanos(WorkspaceName workspace, long nowNanos) {
        if (mSize == 0) {
            return 0;
        }
        WorkspaceQueue<T> own = mQueues.get(workspace);
        double finish =
                own == null ? mVirtualTime + 1 / weight(workspace) : own.nextFinish(mVirtualTime);
        long before = 0;
        for (WorkspaceQueue<T> lane : mNonEmptyQueues) {
            before += lane.countUntil(finish);
        }
        return before * mInterval.intervalNanos() + mInterval.untilNextNanos(nowNanos);
    }

    /** Returns the number of waiting requests. */
    public int size() {
        return mSize;
    }

    /** Returns the number of waiting requests of a workspace. */
    public int size(WorkspaceName workspace) {
        WorkspaceQueue<T> lane = mQueues.get(workspace);
        return lane == null ? 0 : lane.size();
    }

    private void add(WorkspaceName workspace, T request, long deadlineNanos, long nowNanos) {
        WorkspaceQueue<T> lane =
                mQueues.computeIfAbsent(
                        workspace, name -> new WorkspaceQueue<>(name, weight(name)));
        if (mSize == 0) {
            mInterval.onBusy(nowNanos);
        }
        boolean idle = lane.isEmpty();
        lane.add(new WorkspaceQueue.WaitingRequest<>(request, deadlineNanos), mVirtualTime);
        if (idle) {
            mNonEmptyQueues.add(lane);
        }
        mSize++;
    }

    private Optional<T> displaceLongestQueue(WorkspaceName workspace) {
        WorkspaceQueue<T> longest = null;
        for (WorkspaceQueue<T> lane : mNonEmptyQueues) {
            if (longest == null || lane.normalizedSize(0) > longest.normalizedSize(0)) {
                longest = lane;
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
        removeRequests(entry -> entry.isExpired(nowNanos), mExpired);
    }

    private void removeRequests(
            Predicate<WorkspaceQueue.WaitingRequest<T>> condition, List<T> removed) {
        List<WorkspaceQueue<T>> lanes = new ArrayList<>(mNonEmptyQueues);
        mNonEmptyQueues.clear();
        for (WorkspaceQueue<T> lane : lanes) {
            mSize -= lane.removeIf(condition, removed);
            addIfNotEmpty(lane);
        }
        resetIfEmpty();
    }

    private void addIfNotEmpty(WorkspaceQueue<T> lane) {
        if (!lane.isEmpty()) {
            mNonEmptyQueues.add(lane);
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

    private long workspaceIntervalNanos(WorkspaceQueue<T> lane, long nowNanos) {
        double activeWeight = 0;
        for (WorkspaceQueue<T> active : mNonEmptyQueues) {
            activeWeight += active.weight();
        }
        double share = activeWeight / lane.weight();
        return (long) (mInterval.untilNextNanos(nowNanos) * Math.max(1, share));
    }

    private static <T> OfferResult<T> refused(OfferResult.Reason reason, long afterNanos) {
        long millis = afterNanos / NANOS_PER_MILLI + 1;
        return new OfferResult.Refused<>(reason, Math.max(MINIMUM_RETRY_MILLIS, millis));
    }
}
