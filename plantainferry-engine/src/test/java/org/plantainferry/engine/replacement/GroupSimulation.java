package org.plantainferry.engine.replacement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.ServerRole;

/**
 * Simulates group monitors and a group of servers on an unreliable network.
 *
 * <p>The instances of the monitors also write to the primary that they know. The simulation fails
 * with an {@link AssertionError} when a term gets two primaries, when a new primary lacks an
 * acknowledged write, or when a write is acknowledged after a later term's promotion.
 */
final class GroupSimulation {
    static final long NANOS_PER_MILLI = 1_000_000;
    private static final long TICK_NANOS = 50 * NANOS_PER_MILLI;

    private record Event(long atNanos, long sequence, Runnable action) {}

    /** Models an instance with a monitor, which also sends writes. */
    final class Instance {
        final InstanceId mId;
        GroupMonitor mMonitor;
        private int mIncarnation = 1;
        final List<Long> mFenceRequestTimes = new ArrayList<>();

        Instance(int index) {
            mId = new InstanceId("i" + index);
            mMonitor = new GroupMonitor(mId, mId + ".1", mServerIds, mNowNanos);
        }

        /** Replaces the process with a new one without any state. */
        void restart() {
            mIncarnation++;
            mMonitor = new GroupMonitor(mId, mId + "." + mIncarnation, mServerIds, mNowNanos);
            mMonitor.onMonitors(mRankedMonitors, mNowNanos);
        }

        void tick() {
            execute(mMonitor.tick(mNowNanos));
            mMonitor.primary().ifPresent(server -> write(server, mMonitor.term()));
            schedule(mId.value(), TICK_NANOS, this::tick);
        }

        void execute(List<GroupMonitorAction> actions) {
            for (GroupMonitorAction action : actions) {
                if (action instanceof GroupMonitorAction.Probe probe) {
                    probe(probe.server());
                } else if (action instanceof GroupMonitorAction.RequestOpinion request) {
                    requestOpinion(request);
                } else if (action instanceof GroupMonitorAction.Fence fence) {
                    fence(fence);
                } else if (action instanceof GroupMonitorAction.Promote promote) {
                    promote(promote);
                } else if (action instanceof GroupMonitorAction.Announce announce) {
                    mAnnouncedNanosByTerm.putIfAbsent(announce.term(), mNowNanos);
                }
            }
        }

        private void probe(ServerId server) {
            long sentNanos = mNowNanos;
            ServerModel model = mServers.get(server);
            send(
                    mId.value(),
                    server.value(),
                    () -> {
                        ServerProbeResult result = model.probeResult(mNowNanos);
                        send(
                                server.value(),
                                mId.value(),
                                () ->
                                        execute(
                                                mMonitor.onProbeAnswer(
                                                        result, sentNanos, mNowNanos)));
                    });
        }

        private void requestOpinion(GroupMonitorAction.RequestOpinion request) {
            Instance asked = mInstances.get(request.instance());
            send(
                    mId.value(),
                    request.instance().value(),
                    () -> {
                        ProbeOpinion opinion =
                                asked.mMonitor.answerOpinionRequest(request.server(), mNowNanos);
                        send(
                                request.instance().value(),
                                mId.value(),
                                () ->
                                        execute(
                                                mMonitor.onOpinion(
                                                        request.instance(),
                                                        request.server(),
                                                        opinion,
                                                        mNowNanos)));
                    });
        }

        private void fence(GroupMonitorAction.Fence fence) {
            mFenceRequestTimes.add(mNowNanos);
            ServerModel model = mServers.get(fence.server());
            send(
                    mId.value(),
                    fence.server().value(),
                    () -> {
                        FenceAnswer answer = model.fence(fence.term(), fence.proposer());
                        send(
                                fence.server().value(),
                                mId.value(),
                                () ->
                                        execute(
                                                mMonitor.onFenceAnswer(
                                                        fence.server(),
                                                        fence.term(),
                                                        answer,
                                                        mNowNanos)));
                    });
        }

        private void promote(GroupMonitorAction.Promote promote) {
            ServerModel model = mServers.get(promote.server());
            send(
                    mId.value(),
                    promote.server().value(),
                    () -> {
                        PromoteAnswer answer = model.promote(promote.term(), promote.proposer());
                        send(
                                promote.server().value(),
                                mId.value(),
                                () ->
                                        execute(
                                                mMonitor.onPromoteAnswer(
                                                        promote.server(),
                                                        promote.term(),
                                                        answer,
                                                        mNowNanos)));
                    });
        }

        private void write(ServerId primary, long term) {
            long id = ++mLastWriteId;
            long sentNanos = mNowNanos;
            send(
                    mId.value(),
                    primary.value(),
                    () ->
                            mServers.get(primary)
                                    .write(
                                            term,
                                            id,
                                            () ->
                                                    send(
                                                            primary.value(),
                                                            mId.value(),
                                                            () ->
                                                                    acknowledge(
                                                                            id, term, sentNanos))));
        }

        private void acknowledge(long id, long term, long sentNanos) {
            if (AcknowledgementWindow.decide(sentNanos, mNowNanos)
                    == AcknowledgementWindow.Decision.PASS) {
                onAcknowledged(id, term);
            } else {
                requestConfirmation(id, term, 5);
            }
        }

        private void requestConfirmation(long id, long term, int attempts) {
            long askedNanos = mNowNanos;
            Map<ServerId, Long> terms = new HashMap<>();
            Set<Long> decided = new HashSet<>();
            for (ServerModel model : mServers.values()) {
                send(
                        mId.value(),
                        model.mId.value(),
                        () -> {
                            long seen = model.mTerm;
                            send(
                                    model.mId.value(),
                                    mId.value(),
                                    () -> {
                                        terms.put(model.mId, seen);
                                        onConfirmationAnswer(
                                                id, term, askedNanos, terms, decided, attempts);
                                    });
                        });
            }
        }

        private void onConfirmationAnswer(
                long id,
                long term,
                long askedNanos,
                Map<ServerId, Long> terms,
                Set<Long> decided,
                int attempts) {
            AcknowledgementWindow.Confirmation decision =
                    AcknowledgementWindow.confirm(
                            term, terms.values(), mServers.size(), askedNanos, mNowNanos);
            if (decision != AcknowledgementWindow.Confirmation.WAIT && decided.add(id)) {
                if (decision == AcknowledgementWindow.Confirmation.PASS) {
                    onAcknowledged(id, term);
                } else if (decision == AcknowledgementWindow.Confirmation.REPEAT && attempts > 0) {
                    requestConfirmation(id, term, attempts - 1);
                }
            }
        }
    }

    final long mSeed;
    final UniformRandomProvider mRandom;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    (a, b) ->
                            a.atNanos() != b.atNanos()
                                    ? Long.compare(a.atNanos(), b.atNanos())
                                    : Long.compare(a.sequence(), b.sequence()));
    private long mNextSequence;
    long mNowNanos = 1_000 * NANOS_PER_MILLI;
    final List<ServerId> mServerIds =
            List.of(new ServerId("s0"), new ServerId("s1"), new ServerId("s2"));
    final Map<ServerId, ServerModel> mServers = new HashMap<>();
    final Map<InstanceId, Instance> mInstances = new HashMap<>();
    final Map<Long, Long> mAnnouncedNanosByTerm = new HashMap<>();
    final Map<Long, ServerId> mPrimaryByTerm = new HashMap<>();
    private long mNewestPromotedTerm;
    private long mLastWriteId;
    final Set<Long> mAcknowledgedWrites = new HashSet<>();
    private final Set<String> mCutLinks = new HashSet<>();
    final Map<String, Long> mPausedUntilNanos = new HashMap<>();
    final Map<String, Long> mExtraDelayNanos = new HashMap<>();
    final List<InstanceId> mRankedMonitors = new ArrayList<>();
    double mLossProbability;
    long mMaxDelayNanos = 3 * NANOS_PER_MILLI;

    GroupSimulation(long seed, int monitors) {
        mSeed = seed;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (ServerId id : mServerIds) {
            ServerModel server = new ServerModel(id, 2, this::onPromoted);
            mServers.put(id, server);
            schedule(id.value(), mRandom.nextLong(TICK_NANOS), () -> replicate(server));
        }
        for (int i = 0; i < monitors; i++) {
            Instance instance = new Instance(i);
            mInstances.put(instance.mId, instance);
            mRankedMonitors.add(instance.mId);
            schedule(instance.mId.value(), mRandom.nextLong(TICK_NANOS), instance::tick);
        }
        mInstances
                .values()
                .forEach(instance -> instance.mMonitor.onMonitors(mRankedMonitors, mNowNanos));
    }

    void runFor(long nanos) {
        long end = mNowNanos + nanos;
        while (!mEvents.isEmpty() && mEvents.peek().atNanos() <= end) {
            Event event = mEvents.poll();
            mNowNanos = Math.max(mNowNanos, event.atNanos());
            event.action().run();
        }
        mNowNanos = end;
    }

    /**
     * Runs until the instance knows the primary and can reach it, and the primary can confirm
     * writes.
     *
     * @return whether this was so before {@code nanos} had passed
     */
    boolean runUntilServing(Instance instance, long nanos) {
        long end = mNowNanos + nanos;
        while (mNowNanos < end) {
            runFor(TICK_NANOS);
            Optional<ServerId> primary = instance.mMonitor.primary();
            if (primary.isPresent()
                    && !isCut(instance.mId.value(), primary.get().value())
                    && !isPaused(primary.get().value())
                    && mServers.get(primary.get()).mRole == ServerRole.PRIMARY
                    && mServers.values().stream()
                                    .filter(
                                            server ->
                                                    !isCut(
                                                                    server.mId.value(),
                                                                    primary.get().value())
                                                            && !isPaused(server.mId.value())
                                                            && server.mTerm
                                                                    == instance.mMonitor.term())
                                    .count()
                            >= 2) {
                return true;
            }
        }
        return false;
    }

    Instance instance(int index) {
        return mInstances.get(new InstanceId("i" + index));
    }

    ServerId newestPrimary() {
        return mPrimaryByTerm.get(mNewestPromotedTerm);
    }

    void cut(String a, String b) {
        mCutLinks.add(a + ">" + b);
        mCutLinks.add(b + ">" + a);
    }

    void isolate(String node) {
        mServerIds.forEach(server -> cut(node, server.value()));
        mInstances.keySet().forEach(instance -> cut(node, instance.value()));
    }

    void heal() {
        mCutLinks.clear();
        mPausedUntilNanos.clear();
        mExtraDelayNanos.clear();
        mLossProbability = 0;
        mMaxDelayNanos = 3 * NANOS_PER_MILLI;
    }

    boolean isCut(String a, String b) {
        return !a.equals(b) && mCutLinks.contains(a + ">" + b);
    }

    private boolean isPaused(String node) {
        return mPausedUntilNanos.getOrDefault(node, 0L) > mNowNanos;
    }

    /**
     * Runs an action of a node after a delay.
     *
     * <p>A pause of the node delays the action further, in short steps, so that {@link #heal} ends
     * the pause immediately.
     */
    private void schedule(String node, long nanos, Runnable action) {
        mEvents.add(
                new Event(
                        mNowNanos + nanos,
                        mNextSequence++,
                        () -> {
                            if (isPaused(node)) {
                                schedule(
                                        node,
                                        Math.min(
                                                10 * NANOS_PER_MILLI,
                                                mPausedUntilNanos.get(node) - mNowNanos),
                                        action);
                            } else {
                                action.run();
                            }
                        }));
    }

    private void send(String from, String to, Runnable action) {
        if (mRandom.nextDouble() < mLossProbability) {
            return;
        }
        long delay =
                NANOS_PER_MILLI / 2
                        + mRandom.nextLong(mMaxDelayNanos)
                        + mExtraDelayNanos.getOrDefault(from, 0L)
                        + mExtraDelayNanos.getOrDefault(to, 0L);
        if (!isCut(from, to)) {
            schedule(to, delay, action);
        }
    }

    private void replicate(ServerModel server) {
        if (server.mRole == ServerRole.PRIMARY) {
            ServerModel.ReplicationMessage message = server.replicationMessage();
            for (ServerModel replica : mServers.values()) {
                if (replica != server) {
                    send(
                            server.mId.value(),
                            replica.mId.value(),
                            () -> {
                                boolean accepted = replica.onReplication(message, mNowNanos);
                                int length = accepted ? message.log().size() : 0;
                                long term = replica.mTerm;
                                send(
                                        replica.mId.value(),
                                        server.mId.value(),
                                        () ->
                                                server.onReplicationAnswer(
                                                        replica.mId, message.term(), length, term));
                            });
                }
            }
        }
        schedule(server.mId.value(), TICK_NANOS, () -> replicate(server));
    }

    private void onAcknowledged(long id, long term) {
        if (term < mNewestPromotedTerm) {
            throw new AssertionError(
                    "seed "
                            + mSeed
                            + ": write "
                            + id
                            + " of term "
                            + term
                            + " acknowledged after the promotion of term "
                            + mNewestPromotedTerm);
        }
        mAcknowledgedWrites.add(id);
    }

    private void onPromoted(ServerModel server, long term) {
        ServerId previous = mPrimaryByTerm.putIfAbsent(term, server.mId);
        if (previous != null && !previous.equals(server.mId)) {
            throw new AssertionError("seed " + mSeed + ": two primaries of term " + term);
        }
        if (term > mNewestPromotedTerm) {
            Set<Long> missing = new HashSet<>(mAcknowledgedWrites);
            server.mLog.forEach(entry -> missing.remove(entry.id()));
            if (!missing.isEmpty()) {
                throw new AssertionError("seed " + mSeed + ": term " + term + " misses " + missing);
            }
        }
        mNewestPromotedTerm = Math.max(mNewestPromotedTerm, term);
    }
}
