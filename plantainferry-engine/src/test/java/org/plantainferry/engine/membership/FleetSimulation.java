package org.plantainferry.engine.membership;

import static org.testng.Assert.assertEquals;

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
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.configuration.Configuration;
import org.plantainferry.api.configuration.ConfigurationParts;
import org.plantainferry.engine.configuration.ConfigurationFreshness;
import org.plantainferry.engine.configuration.ConfigurationState;

/** Runs the heartbeats and the configuration of a fleet, with a model of the store. */
public final class FleetSimulation {
    public static final long MILLI = 1_000_000;
    private static final long TICK = 50 * MILLI;
    private static final String STORE = "store";

    private record Event(long at, long order, Runnable action) {}

    /** One instance. */
    public final class Instance {
        public final Member mMember;
        public final MembershipTable mTable;
        public final ConfigurationState mState = new ConfigurationState();
        public final ConfigurationFreshness mFreshness;
        private boolean mChecking;

        Instance(Member member, long incarnation) {
            mMember = member;
            mTable = new MembershipTable(member, incarnation, mRandom, mNow);
            mFreshness = new ConfigurationFreshness(member.failureDomain());
        }

        private void start(List<Member> listed) {
            mTable.onPlatformList(listed, mNow);
            mFreshness.onInstances(mTable.failureDomains(), mTable.isOnlyInstanceInDomain());
            after(name(), mRandom.nextLong(500 * MILLI), this::tick);
        }

        String name() {
            return mMember.id().value();
        }

        void tick() {
            boolean all = mFreshness.needsHeartbeatAnswers(mNow);
            for (HeartbeatTarget each : mTable.tick(mNow)) {
                heartbeat(each.peer(), all || each.answerWanted());
            }
            if (!mChecking && mFreshness.isStoreCheckDue(mNow)) {
                check();
            }
            mState.nextFetch(mNow).ifPresent(each -> fetch(each.peer()));
            after(name(), TICK, this::tick);
        }

        private void heartbeat(InstanceId peer, boolean answerWanted) {
            long sent = mNow;
            Instance other = mInstances.get(Integer.parseInt(peer.value().substring(1)));
            HeartbeatContent view = view(answerWanted);
            mHeartbeats++;
            boolean[] answered = {false};
            send(
                    this,
                    other,
                    () -> {
                        other.onHeartbeat(view);
                        if (answerWanted) {
                            HeartbeatContent answer = other.view(false);
                            mHeartbeats++;
                            send(
                                    other,
                                    this,
                                    () -> {
                                        answered[0] = true;
                                        onHeartbeat(answer);
                                        mFreshness.onHeartbeatAnswer(answer, sent, mNow);
                                    });
                        }
                    });
            if (answerWanted) {
                after(
                        name(),
                        MembershipTable.ANSWER_TIMEOUT_NANOS,
                        () -> {
                            if (!answered[0]) {
                                mTable.onHeartbeatFailure(peer, mNow);
                            }
                        });
            }
        }

        private HeartbeatContent view(boolean answerWanted) {
            return mTable.heartbeat(mFreshness.status(List.of(), mNow), answerWanted, mNow);
        }

        private void onHeartbeat(HeartbeatContent view) {
            mTable.onHeartbeat(view, mNow);
            mFreshness.onHeartbeat(view, mNow);
            mState.onPeerVersion(view.instance(), view.status().configurationVersion());
        }

        private void fetch(InstanceId peer) {
            Instance other = mInstances.get(Integer.parseInt(peer.value().substring(1)));
            send(
                    this,
                    other,
                    () -> {
                        Configuration found = other.mState.current();
                        send(other, this, () -> accept(found));
                    });
        }

        private void accept(Configuration configuration) {
            mState.offer(configuration);
            mFreshness.onVersionInForce(mState.current().version());
        }

        private void check() {
            mChecking = true;
            long sent = mNow;
            if (reachesStore(this)) {
                after(
                        STORE,
                        delay(),
                        () -> {
                            Configuration found = mStore;
                            after(name(), storeDelay(this), () -> finish(sent, Optional.of(found)));
                        });
            }
            after(name(), 1_000 * MILLI, () -> finish(sent, Optional.empty()));
        }

        private void finish(long sent, Optional<Configuration> found) {
            if (found.isPresent()) {
                accept(found.get());
                mFreshness.onStoreAnswer(found.get().version(), sent, mNow);
            } else if (mChecking) {
                mFreshness.onStoreFailure(sent, mNow);
            }
            mChecking = false;
        }
    }

    public final UniformRandomProvider mRandom;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at() != b.at()
                                    ? Long.compare(a.at(), b.at())
                                    : Long.compare(a.order(), b.order()));
    private long mOrder;
    public long mNow = 1_000 * MILLI;
    public final List<Instance> mInstances = new ArrayList<>();
    public final Set<String> mIsolated = new HashSet<>();
    public final Set<String> mStopped = new HashSet<>();
    public final Map<String, Long> mPausedUntil = new HashMap<>();
    public boolean mStoreUp = true;
    public long mMaxDelay = 3 * MILLI;

    /** How much later the store's answers and watches reach all instances but the first. */
    public long mStoreDelay;

    public long mHeartbeats;
    private Configuration mStore = Configuration.EMPTY;
    public final List<Long> mAcceptedNanos = new ArrayList<>(List.of(0L));

    /** Creates a fleet in which every instance is listed. */
    public FleetSimulation(long seed, int domains, int perDomain) {
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < domains * perDomain; i++) {
            FailureDomain domain = new FailureDomain("d" + i % domains);
            members.add(new Member(new InstanceId("i" + i), domain, "a", "a", "a", false));
        }
        members.forEach(each -> mInstances.add(new Instance(each, 1)));
        mInstances.forEach(each -> each.start(members));
    }

    /** Stops all instances of a failure domain. */
    public void stop(FailureDomain domain) {
        for (Instance each : mInstances) {
            if (each.mMember.failureDomain().equals(domain)) {
                mStopped.add(each.name());
            }
        }
    }

    /** Starts new processes in place of all instances of a failure domain. */
    public void restart(FailureDomain domain) {
        List<Member> members = mInstances.stream().map(each -> each.mMember).toList();
        for (int i = 0; i < members.size(); i++) {
            if (members.get(i).failureDomain().equals(domain)) {
                mStopped.remove(mInstances.get(i).name());
                mInstances.set(i, new Instance(members.get(i), 2));
                mInstances.get(i).start(members);
            }
        }
    }

    /** Expects that all running instances take the same number of instances for live. */
    public void expectLive(int count, String what) {
        for (Instance each : mInstances) {
            if (!mStopped.contains(each.name())) {
                int live = each.mTable.snapshot().members().size();
                assertEquals(live, count, what + ", at " + each.name());
            }
        }
    }

    /** Runs all events of a span of time. */
    public void runFor(long nanos) {
        long end = mNow + nanos;
        while (!mEvents.isEmpty() && mEvents.peek().at() <= end) {
            Event event = mEvents.poll();
            mNow = event.at();
            event.action().run();
        }
        mNow = end;
    }

    /** Applies a change from a failure domain, when the store and an instance there can see it. */
    public void change(String domain) {
        boolean seen =
                mInstances.stream()
                        .anyMatch(
                                each ->
                                        each.mMember.failureDomain().value().equals(domain)
                                                && reachesStore(each)
                                                && !isPaused(each.name()));
        if (seen) {
            mStore = new Configuration(mStore.version() + 1, List.of(), ConfigurationParts.EMPTY);
            mAcceptedNanos.add(mNow);
            Configuration changed = mStore;
            for (Instance each : mInstances) {
                if (reachesStore(each)) {
                    after(each.name(), storeDelay(each), () -> onWatch(each, changed));
                }
            }
        }
    }

    private void onWatch(Instance instance, Configuration changed) {
        if (mStoreDelay == 0 || reachesStore(instance)) {
            instance.accept(changed);
        }
    }

    private long storeDelay(Instance instance) {
        return delay() + (instance == mInstances.get(0) ? 0 : mStoreDelay);
    }

    /** Returns the number of instances that have the store's version in force. */
    public long countUpToDate() {
        return mInstances.stream()
                .filter(each -> each.mState.current().version() == mStore.version())
                .count();
    }

    /** Returns whether an instance stands still. */
    public boolean isPaused(String node) {
        return mPausedUntil.getOrDefault(node, 0L) > mNow;
    }

    /** Cuts an instance off from all others and the store, or a domain from the other domains. */
    public void isolate(String domainOrInstance) {
        mIsolated.add(domainOrInstance);
    }

    private boolean reachesStore(Instance instance) {
        return mStoreUp
                && !mIsolated.contains(instance.name())
                && !mIsolated.contains(instance.mMember.failureDomain().value());
    }

    private boolean isCut(Instance a, Instance b) {
        String domainA = a.mMember.failureDomain().value();
        String domainB = b.mMember.failureDomain().value();
        return mIsolated.contains(a.name())
                || mIsolated.contains(b.name())
                || !domainA.equals(domainB)
                        && (mIsolated.contains(domainA) || mIsolated.contains(domainB));
    }

    private long delay() {
        return MILLI / 2 + mRandom.nextLong(mMaxDelay);
    }

    private void send(Instance from, Instance to, Runnable action) {
        if (!isCut(from, to)) {
            after(to.name(), delay(), action);
        }
    }

    private void after(String node, long nanos, Runnable action) {
        mEvents.add(
                new Event(
                        mNow + nanos,
                        mOrder++,
                        () -> {
                            if (isPaused(node)) {
                                after(node, mPausedUntil.get(node) - mNow, action);
                            } else if (!mStopped.contains(node)) {
                                action.run();
                            }
                        }));
    }
}
