package org.plantainferry.engine.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.WorkspaceName;
import org.plantainferry.api.configuration.Configuration;
import org.plantainferry.api.configuration.ConfigurationParts;
import org.plantainferry.api.configuration.DomainShare;
import org.plantainferry.api.configuration.Workspace;

/** Runs share holders and allocators over a scripted network in simulated time. */
final class ShareSimulation {
    private record Event(long timeNanos, long sequence, Runnable action) {}

    /** One process with its own clock. */
    final class Node {
        final InstanceId mId;
        final int mDomain;
        final long mClockOffset = mRandom.nextLong() >> 2;
        final SlotConfiguration mSlotConfiguration;
        final ShareHolder mHolder;
        final ShareAllocator mAllocator;
        final Set<Node> mKnownNodes = new HashSet<>();
        final Map<WorkspaceName, List<Waiter>> mWaiters = new HashMap<>();
        int mSlots;
        int mFirstIndex;
        long mPausedUntilNanos;
        boolean mStopped;

        Node(String id, int domain, Configuration configuration) {
            mId = new InstanceId(id);
            mDomain = domain;
            mSlotConfiguration = new SlotConfiguration(configuration);
            mHolder = new ShareHolder(clock(), mId, mSlotConfiguration);
            mAllocator = new ShareAllocator(clock(), mSlotConfiguration, mRandom.nextLong());
        }

        long clock() {
            return mNowNanos + mClockOffset;
        }

        void tick() {
            int limit = mSlotConfiguration.usableSlots(clock(), domain(mDomain));
            int usable = Math.max(0, Math.min(mSlots, limit - mFirstIndex));
            mHolder.tick(clock(), usable, this::rankAllocators).forEach(this::send);
        }

        private List<InstanceId> rankAllocators(WorkspaceName workspace) {
            Node first = null;
            Node second = null;
            for (Node node : mKnownNodes) {
                if (first == null || score(node, workspace) < score(first, workspace)) {
                    second = first;
                    first = node;
                } else if (second == null || score(node, workspace) < score(second, workspace)) {
                    second = node;
                }
            }
            return Stream.of(first, second).filter(Objects::nonNull).map(n -> n.mId).toList();
        }

        private void send(SendShareRequest sent) {
            Node allocator = mNodes.get(sent.allocator());
            countMessage(this, allocator, requestBytes(sent.request()));
            deliver(this, allocator, () -> allocator.handleRequest(this, sent.request()));
        }

        private void handleRequest(Node borrower, ShareRequest request) {
            AllocatorReply reply = mAllocator.handleRequest(clock(), request);
            reply.answer().ifPresent(answer -> sendAnswer(borrower, answer));
            for (InstanceId recalled : reply.recalled()) {
                Node node = mNodes.get(recalled);
                countMessage(this, node, RECALL_BYTES);
                deliver(
                        this,
                        node,
                        () -> {
                            node.mHolder.handleRecall(node.clock(), mId);
                            node.tick();
                        });
            }
        }

        private void sendAnswer(Node borrower, ShareAnswer answer) {
            countMessage(this, borrower, answerBytes(answer));
            deliver(
                    this,
                    borrower,
                    () -> {
                        List<WorkspaceName> woken =
                                borrower.mHolder.applyAnswer(borrower.clock(), mId, answer);
                        woken.forEach(borrower::retryWaiters);
                        borrower.tick();
                    });
        }

        void arrive(WorkspaceName workspace) {
            mOfferedRequests++;
            Acquisition result = mHolder.bucket(workspace).orElseThrow().tryAcquire(clock());
            if (result instanceof Acquisition.Wait wait) {
                Waiter waiter = new Waiter(workspace);
                mWaiters.computeIfAbsent(workspace, key -> new ArrayList<>()).add(waiter);
                schedule(
                        mNowNanos + wait.nanos(),
                        () -> runAfterPause(this, () -> waiter.retry(this)));
                tick();
            } else {
                countOutcome(workspace, result);
            }
        }

        private void retryWaiters(WorkspaceName workspace) {
            List<Waiter> waiters = mWaiters.remove(workspace);
            if (waiters != null) {
                waiters.forEach(waiter -> waiter.retry(this));
            }
        }
    }

    private final class Waiter {
        private final WorkspaceName mWorkspace;
        private final long mDeadlineNanos = mNowNanos + ShareTiming.MAXIMUM_WAIT_NANOS;
        private boolean mDone;

        Waiter(WorkspaceName workspace) {
            mWorkspace = workspace;
        }

        void retry(Node node) {
            if (mDone || node.mStopped) {
                return;
            }
            Acquisition result =
                    node.mHolder.bucket(mWorkspace).orElseThrow().retryAcquire(node.clock());
            long left = mDeadlineNanos - mNowNanos;
            if (result instanceof Acquisition.Wait wait && left > 0) {
                schedule(
                        mNowNanos + Math.min(left, wait.nanos()),
                        () -> runAfterPause(node, () -> retry(node)));
                node.mWaiters.computeIfAbsent(mWorkspace, key -> new ArrayList<>()).add(this);
                return;
            }
            mDone = true;
            countOutcome(mWorkspace, result);
        }
    }

    private static final int RECALL_BYTES = 12;
    static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    final Random mRandom;
    final Map<InstanceId, Node> mNodes = new HashMap<>();
    final Map<WorkspaceName, List<Long>> mGrantTimes = new HashMap<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::timeNanos).thenComparingLong(Event::sequence));
    long mNowNanos;
    long mOfferedRequests;
    long mRefusedRequests;
    long mMessages;
    long mBytes;
    double mLossProbability;
    double mDuplicateProbability;
    double mLongDelayProbability;
    boolean mPartitioned;
    private long mNextSequence;

    ShareSimulation(long seed) {
        mRandom = new Random(seed);
    }

    Node add(String id, int domain, int slots, Configuration configuration) {
        Node node = new Node(id, domain, configuration);
        node.mSlots = slots;
        mNodes.put(node.mId, node);
        mNodes.values().stream().filter(other -> !other.mStopped).forEach(node.mKnownNodes::add);
        mNodes.values().forEach(other -> other.mKnownNodes.add(node));
        schedule(mNowNanos + mRandom.nextInt((int) (10 * MILLI)), () -> tickPeriodically(node));
        return node;
    }

    private void tickPeriodically(Node node) {
        if (!node.mStopped) {
            node.tick();
            schedule(
                    Math.max(mNowNanos, node.mPausedUntilNanos)
                            + 8 * MILLI
                            + mRandom.nextInt((int) (4 * MILLI)),
                    () -> runAfterPause(node, () -> tickPeriodically(node)));
        }
    }

    void schedule(long time, Runnable action) {
        mEvents.add(new Event(time, mNextSequence++, action));
    }

    void run(long until) {
        while (!mEvents.isEmpty() && mEvents.peek().timeNanos() <= until) {
            Event event = mEvents.poll();
            mNowNanos = Math.max(mNowNanos, event.timeNanos());
            event.action().run();
        }
        mNowNanos = until;
    }

    void runAfterPause(Node node, Runnable action) {
        if (node.mStopped) {
            return;
        }
        if (node.mPausedUntilNanos > mNowNanos) {
            schedule(node.mPausedUntilNanos, () -> runAfterPause(node, action));
        } else {
            action.run();
        }
    }

    private void deliver(Node from, Node to, Runnable action) {
        if (from == to) {
            schedule(mNowNanos, () -> runAfterPause(to, action));
            return;
        }
        int copies = mRandom.nextDouble() < mDuplicateProbability ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (mRandom.nextDouble() < mLossProbability) {
                continue;
            }
            long delay = MILLI + mRandom.nextInt((int) (MILLI / 4));
            if (mRandom.nextDouble() < mLongDelayProbability) {
                delay += (long) (mRandom.nextDouble() * 3_000 * MILLI);
            }
            schedule(
                    mNowNanos + delay,
                    () -> {
                        if (!mPartitioned || from.mDomain == to.mDomain) {
                            runAfterPause(to, action);
                        }
                    });
        }
    }

    private void countMessage(Node from, Node to, int bytes) {
        if (from != to) {
            mMessages++;
            mBytes += bytes;
        }
    }

    private void countOutcome(WorkspaceName workspace, Acquisition result) {
        if (result instanceof Acquisition.Granted) {
            mGrantTimes.computeIfAbsent(workspace, key -> new ArrayList<>()).add(mNowNanos);
        } else {
            mRefusedRequests++;
        }
    }

    /** Returns by how much the worst window of a workspace exceeds its limit. */
    double excess(WorkspaceName workspace, double rate, double burst, long from) {
        LeakyBucketMeter meter = new LeakyBucketMeter(rate, burst);
        mGrantTimes.getOrDefault(workspace, List.of()).stream()
                .filter(time -> time >= from)
                .forEach(meter::recordGrant);
        return meter.excess();
    }

    // Sizes of the protobuf messages with the fields that plantainferry-network needs: tags, a
    // fixed64 for each number, and the names.
    private static int requestBytes(ShareRequest request) {
        int bytes = 32 + request.instance().value().length();
        for (ShareRequest.Share share : request.shares()) {
            bytes += 6 + share.workspace().value().length();
            bytes += share.depositedSlots() > 0 ? 2 : 0;
            bytes += share.depositedTokens() > 0 ? 9 : 0;
            bytes += share.demandPerSecond() > 0 ? 9 : 0;
            bytes += share.grantTokens() > 0 ? 9 : 0;
            bytes += share.waiting() > 0 ? 2 : 0;
        }
        return bytes;
    }

    private static int answerBytes(ShareAnswer answer) {
        int bytes = 33;
        for (ShareAnswer.Grant grant : answer.grants()) {
            bytes += 4 + grant.workspace().value().length();
            bytes += grant.ratePerSecond() > 0 ? 9 : 0;
            bytes += grant.capacity() > 0 ? 9 : 0;
            bytes += grant.tokens() > 0 ? 9 : 0;
            bytes += 4;
            bytes += grant.retryAfterNanos() > 0 ? 5 : 0;
        }
        return bytes;
    }

    private static long score(Node node, WorkspaceName workspace) {
        long hash = node.mId.hashCode() * 0x9E3779B97F4A7C15L + workspace.hashCode();
        hash *= 0xBF58476D1CE4E5B9L;
        return hash ^ (hash >>> 31);
    }

    static FailureDomain domain(int index) {
        return new FailureDomain("zone-" + index);
    }

    static WorkspaceName workspace(int index) {
        return new WorkspaceName("bench-" + index);
    }

    /** Returns a configuration in which all workspaces have the same limits. */
    static Configuration configuration(
            long version, int workspaces, double rate, double burst, int... slots) {
        List<DomainShare> domains = new ArrayList<>();
        for (int i = 0; i < slots.length; i++) {
            domains.add(new DomainShare(domain(i), slots[i]));
        }
        List<Workspace> list = new ArrayList<>();
        for (int i = 0; i < workspaces; i++) {
            list.add(new Workspace(workspace(i), rate, burst, null, null, null, null));
        }
        return new Configuration(
                version, null, new ConfigurationParts(domains, null, list, null, null));
    }
}
