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

/** Runs guardians that also write, and a model of a group, on a scripted network. */
final class GroupSimulation {
    static final long NANOS_PER_MILLI = 1_000_000;
    private static final long TICK_NANOS = 50 * NANOS_PER_MILLI;

    private record Event(long atNanos, long sequence, Runnable action) {}

    /** One instance: a guardian that also passes writes on. */
    final class Instance {
        final InstanceId mId;
        GroupMonitor mMonitor;
        private int mIncarnation = 1;
        final List<Long> mFenceRequestTimes = new ArrayList<>();

        Instance(int index) {
            mId = new InstanceId("i" + index);
            mMonitor = new GroupMonitor(mId, mId + ".1", mServerIds, mNowNanos);
        }

        /** Replaces the process by a new one that remembers nothing. */
        void restart() {
            mIncarnation++;
            mMonitor = new GroupMonitor(mId, mId + "." + mIncarnation, mServerIds, mNowNanos);
            mMonitor.onMonitors(mRankedMonitors, mNowNanos);
        }

        void tick() {
            execute(mMonitor.tick(mNowNanos));
            mMonitor.primary().ifPresent(each -> write(each, mMonitor.term()));
            schedule(mId.value(), TICK_NANOS, this::tick);
        }

        void execute(List<GroupMonitorAction> actions) {
            for (GroupMonitorAction action : actions) {
                if (action instanceof GroupMonitorAction.Probe probe) {
                    probe(probe.server());
                } else if (action instanceof GroupMonitorAction.RequestOpinion ask) {
                    requestOpinion(ask);
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
            long sent = mNowNanos;
            ServerModel model = mServers.get(server);
            send(
                    mId.value(),
                    server.value(),
                    () -> {
                        ServerProbeResult state = model.probeResult(mNowNanos);
                        send(
                                server.value(),
                                mId.value(),
                                () -> execute(mMonitor.onProbeAnswer(state, sent, mNowNanos)));
                    });
        }

        private void requestOpinion(GroupMonitorAction.RequestOpinion ask) {
            Instance other = mInstances.get(ask.instance());
            send(
                    mId.value(),
                    ask.instance().value(),
                    () -> {
                        ProbeOpinion opinion =
                                other.mMonitor.answerOpinionRequest(ask.server(), mNowNanos);
                        send(
                                ask.instance().value(),
                                mId.value(),
                                () ->
                                        execute(
                                                mMonitor.onOpinion(
                                                        ask.instance(),
                                                        ask.server(),
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
            long sent = mNowNanos;
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
                                                            () -> acknowledge(id, term, sent))));
        }

        private void acknowledge(long id, long term, long sent) {
            if (AcknowledgementWindow.decide(sent, mNowNanos)
                    == AcknowledgementWindow.Decision.PASS) {
                onAcknowledged(id, term);
            } else {
                requestConfirmation(id, term, 5);
            }
        }

        private void requestConfirmation(long id, long term, int attempts) {
            long asked = mNowNanos;
            Map<ServerId, Long> terms = new HashMap<>();
            Set<Long> done = new HashSet<>();
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
                                                id, term, asked, terms, done, attempts);
                                    });
                        });
            }
        }

        private void onConfirmationAnswer(
                long id,
                long term,
                long asked,
                Map<ServerId, Long> terms,
                Set<Long> done,
                int attempts) {
            AcknowledgementWindow.Confirmation decision =
                    AcknowledgementWindow.confirm(
                            term, terms.values(), mServers.size(), asked, mNowNanos);
            if (decision != AcknowledgementWindow.Confirmation.WAIT && done.add(id)) {
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

    GroupSimulation(long seed, int guardians) {
        mSeed = seed;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (ServerId id : mServerIds) {
            ServerModel server = new ServerModel(id, 2, this::onPromoted);
            mServers.put(id, server);
            schedule(id.value(), mRandom.nextLong(TICK_NANOS), () -> replicate(server));
        }
        for (int i = 0; i < guardians; i++) {
            Instance instance = new Instance(i);
            mInstances.put(instance.mId, instance);
            mRankedMonitors.add(instance.mId);
            schedule(instance.mId.value(), mRandom.nextLong(TICK_NANOS), instance::tick);
        }
        mInstances.values().forEach(each -> each.mMonitor.onMonitors(mRankedMonitors, mNowNanos));
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

    /** Runs until a server is the primary that the instance knows, and it confirms writes. */
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
                                            each ->
                                                    !isCut(each.mId.value(), primary.get().value())
                                                            && !isPaused(each.mId.value())
                                                            && each.mTerm
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
        mServerIds.forEach(each -> cut(node, each.value()));
        mInstances.keySet().forEach(each -> cut(node, each.value()));
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
     * Runs an action of a node after a time; a pause of the node delays it further, in short steps,
     * so that {@link #heal} ends the pause at once.
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
            for (ServerModel other : mServers.values()) {
                if (other != server) {
                    send(
                            server.mId.value(),
                            other.mId.value(),
                            () -> {
                                boolean accepted = other.onReplication(message, mNowNanos);
                                int length = accepted ? message.log().size() : 0;
                                long term = other.mTerm;
                                send(
                                        other.mId.value(),
                                        server.mId.value(),
                                        () ->
                                                server.onReplicationAnswer(
                                                        other.mId, message.term(), length, term));
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
        ServerId other = mPrimaryByTerm.putIfAbsent(term, server.mId);
        if (other != null && !other.equals(server.mId)) {
            throw new AssertionError("seed " + mSeed + ": two primaries of term " + term);
        }
        if (term > mNewestPromotedTerm) {
            Set<Long> missing = new HashSet<>(mAcknowledgedWrites);
            server.mLog.forEach(each -> missing.remove(each.id()));
            if (!missing.isEmpty()) {
                throw new AssertionError("seed " + mSeed + ": term " + term + " misses " + missing);
            }
        }
        mNewestPromotedTerm = Math.max(mNewestPromotedTerm, term);
    }
}
