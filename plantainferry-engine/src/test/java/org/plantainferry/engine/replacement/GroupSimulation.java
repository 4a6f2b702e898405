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
    static final long MILLI = 1_000_000;
    private static final long TICK = 50 * MILLI;

    private record Event(long at, long order, Runnable action) {}

    /** One instance: a guardian that also passes writes on. */
    final class Instance {
        final InstanceId mId;
        GroupMonitor mGuardian;
        private int mIncarnation = 1;
        final List<Long> mFences = new ArrayList<>();

        Instance(int index) {
            mId = new InstanceId("i" + index);
            mGuardian = new GroupMonitor(mId, mId + ".1", mServerIds, mNow);
        }

        /** Replaces the process by a new one that remembers nothing. */
        void restart() {
            mIncarnation++;
            mGuardian = new GroupMonitor(mId, mId + "." + mIncarnation, mServerIds, mNow);
            mGuardian.onMonitors(mRanked, mNow);
        }

        void tick() {
            run(mGuardian.tick(mNow));
            mGuardian.primary().ifPresent(each -> write(each, mGuardian.term()));
            after(mId.value(), TICK, this::tick);
        }

        void run(List<GroupMonitorAction> actions) {
            for (GroupMonitorAction action : actions) {
                if (action instanceof GroupMonitorAction.Probe probe) {
                    probe(probe.server());
                } else if (action instanceof GroupMonitorAction.RequestOpinion ask) {
                    ask(ask);
                } else if (action instanceof GroupMonitorAction.Fence fence) {
                    fence(fence);
                } else if (action instanceof GroupMonitorAction.Promote promote) {
                    promote(promote);
                } else if (action instanceof GroupMonitorAction.Announce announce) {
                    mAnnounced.putIfAbsent(announce.term(), mNow);
                }
            }
        }

        private void probe(ServerId server) {
            long sent = mNow;
            ServerModel model = mServers.get(server);
            send(
                    mId.value(),
                    server.value(),
                    () -> {
                        ServerProbeResult state = model.state(mNow);
                        send(
                                server.value(),
                                mId.value(),
                                () -> run(mGuardian.onProbeAnswer(state, sent, mNow)));
                    });
        }

        private void ask(GroupMonitorAction.RequestOpinion ask) {
            Instance other = mInstances.get(ask.instance());
            send(
                    mId.value(),
                    ask.instance().value(),
                    () -> {
                        ProbeOpinion opinion =
                                other.mGuardian.answerOpinionRequest(ask.server(), mNow);
                        send(
                                ask.instance().value(),
                                mId.value(),
                                () ->
                                        run(
                                                mGuardian.onOpinion(
                                                        ask.instance(),
                                                        ask.server(),
                                                        opinion,
                                                        mNow)));
                    });
        }

        private void fence(GroupMonitorAction.Fence fence) {
            mFences.add(mNow);
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
                                        run(
                                                mGuardian.onFenceAnswer(
                                                        fence.server(),
                                                        fence.term(),
                                                        answer,
                                                        mNow)));
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
                                        run(
                                                mGuardian.onPromoteAnswer(
                                                        promote.server(),
                                                        promote.term(),
                                                        answer,
                                                        mNow)));
                    });
        }

        private void write(ServerId primary, long term) {
            long id = ++mWrites;
            long sent = mNow;
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
            if (AcknowledgementWindow.decide(sent, mNow) == AcknowledgementWindow.Decision.PASS) {
                acknowledged(id, term);
            } else {
                confirm(id, term, 5);
            }
        }

        private void confirm(long id, long term, int attempts) {
            long asked = mNow;
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
                                        decide(id, term, asked, terms, done, attempts);
                                    });
                        });
            }
        }

        private void decide(
                long id,
                long term,
                long asked,
                Map<ServerId, Long> terms,
                Set<Long> done,
                int attempts) {
            AcknowledgementWindow.Confirmation decision =
                    AcknowledgementWindow.confirm(
                            term, terms.values(), mServers.size(), asked, mNow);
            if (decision != AcknowledgementWindow.Confirmation.WAIT && done.add(id)) {
                if (decision == AcknowledgementWindow.Confirmation.PASS) {
                    acknowledged(id, term);
                } else if (decision == AcknowledgementWindow.Confirmation.REPEAT && attempts > 0) {
                    confirm(id, term, attempts - 1);
                }
            }
        }
    }

    final long mSeed;
    final UniformRandomProvider mRandom;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at() != b.at()
                                    ? Long.compare(a.at(), b.at())
                                    : Long.compare(a.order(), b.order()));
    private long mOrder;
    long mNow = 1_000 * MILLI;
    final List<ServerId> mServerIds =
            List.of(new ServerId("s0"), new ServerId("s1"), new ServerId("s2"));
    final Map<ServerId, ServerModel> mServers = new HashMap<>();
    final Map<InstanceId, Instance> mInstances = new HashMap<>();
    final Map<Long, Long> mAnnounced = new HashMap<>();
    final Map<Long, ServerId> mPrimaries = new HashMap<>();
    private long mPromotedTerm;
    private long mWrites;
    final Set<Long> mAcknowledged = new HashSet<>();
    private final Set<String> mCut = new HashSet<>();
    final Map<String, Long> mPausedUntil = new HashMap<>();
    final Map<String, Long> mExtraDelay = new HashMap<>();
    final List<InstanceId> mRanked = new ArrayList<>();
    double mLoss;
    long mMaxDelay = 3 * MILLI;

    GroupSimulation(long seed, int guardians) {
        mSeed = seed;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (ServerId id : mServerIds) {
            ServerModel server = new ServerModel(id, 2, this::promoted);
            mServers.put(id, server);
            after(id.value(), mRandom.nextLong(TICK), () -> replicate(server));
        }
        for (int i = 0; i < guardians; i++) {
            Instance instance = new Instance(i);
            mInstances.put(instance.mId, instance);
            mRanked.add(instance.mId);
            after(instance.mId.value(), mRandom.nextLong(TICK), instance::tick);
        }
        mInstances.values().forEach(each -> each.mGuardian.onMonitors(mRanked, mNow));
    }

    void runFor(long nanos) {
        long end = mNow + nanos;
        while (!mEvents.isEmpty() && mEvents.peek().at() <= end) {
            Event event = mEvents.poll();
            mNow = Math.max(mNow, event.at());
            event.action().run();
        }
        mNow = end;
    }

    /** Runs until a server is the primary that the instance knows, and it confirms writes. */
    boolean runUntilServing(Instance instance, long nanos) {
        long end = mNow + nanos;
        while (mNow < end) {
            runFor(TICK);
            Optional<ServerId> primary = instance.mGuardian.primary();
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
                                                                    == instance.mGuardian.term())
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
        return mPrimaries.get(mPromotedTerm);
    }

    void cut(String a, String b) {
        mCut.add(a + ">" + b);
        mCut.add(b + ">" + a);
    }

    void isolate(String node) {
        mServerIds.forEach(each -> cut(node, each.value()));
        mInstances.keySet().forEach(each -> cut(node, each.value()));
    }

    void heal() {
        mCut.clear();
        mPausedUntil.clear();
        mExtraDelay.clear();
        mLoss = 0;
        mMaxDelay = 3 * MILLI;
    }

    boolean isCut(String a, String b) {
        return !a.equals(b) && mCut.contains(a + ">" + b);
    }

    private boolean isPaused(String node) {
        return mPausedUntil.getOrDefault(node, 0L) > mNow;
    }

    /**
     * Runs an action of a node after a time; a pause of the node delays it further, in short steps,
     * so that {@link #heal} ends the pause at once.
     */
    private void after(String node, long nanos, Runnable action) {
        mEvents.add(
                new Event(
                        mNow + nanos,
                        mOrder++,
                        () -> {
                            if (isPaused(node)) {
                                after(
                                        node,
                                        Math.min(10 * MILLI, mPausedUntil.get(node) - mNow),
                                        action);
                            } else {
                                action.run();
                            }
                        }));
    }

    private void send(String from, String to, Runnable action) {
        if (mRandom.nextDouble() < mLoss) {
            return;
        }
        long delay =
                MILLI / 2
                        + mRandom.nextLong(mMaxDelay)
                        + mExtraDelay.getOrDefault(from, 0L)
                        + mExtraDelay.getOrDefault(to, 0L);
        if (!isCut(from, to)) {
            after(to, delay, action);
        }
    }

    private void replicate(ServerModel server) {
        if (server.mRole == ServerRole.PRIMARY) {
            ServerModel.Replication message = server.replication();
            for (ServerModel other : mServers.values()) {
                if (other != server) {
                    send(
                            server.mId.value(),
                            other.mId.value(),
                            () -> {
                                boolean accepted = other.replicate(message, mNow);
                                int length = accepted ? message.log().size() : 0;
                                long term = other.mTerm;
                                send(
                                        other.mId.value(),
                                        server.mId.value(),
                                        () ->
                                                server.confirm(
                                                        other.mId, message.term(), length, term));
                            });
                }
            }
        }
        after(server.mId.value(), TICK, () -> replicate(server));
    }

    private void acknowledged(long id, long term) {
        if (term < mPromotedTerm) {
            throw new AssertionError(
                    "seed "
                            + mSeed
                            + ": write "
                            + id
                            + " of term "
                            + term
                            + " acknowledged after the promotion of term "
                            + mPromotedTerm);
        }
        mAcknowledged.add(id);
    }

    private void promoted(ServerModel server, long term) {
        ServerId other = mPrimaries.putIfAbsent(term, server.mId);
        if (other != null && !other.equals(server.mId)) {
            throw new AssertionError("seed " + mSeed + ": two primaries of term " + term);
        }
        if (term > mPromotedTerm) {
            Set<Long> missing = new HashSet<>(mAcknowledged);
            server.mLog.forEach(each -> missing.remove(each.id()));
            if (!missing.isEmpty()) {
                throw new AssertionError("seed " + mSeed + ": term " + term + " misses " + missing);
            }
        }
        mPromotedTerm = Math.max(mPromotedTerm, term);
    }
}
