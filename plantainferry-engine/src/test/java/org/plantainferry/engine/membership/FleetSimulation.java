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
    private static final long TICK_NANOS = 50 * MILLI;
    private static final String STORE_NODE = "store";

    private record Event(long at, long order, Runnable action) {}

    /** One instance. */
    public final class Instance {
        public final Member mMember;
        public final MembershipTable mTable;
        public final ConfigurationState mConfigurationState = new ConfigurationState();
        public final ConfigurationFreshness mFreshness;
        private boolean mStoreCheckPending;

        Instance(Member member, long incarnation) {
            mMember = member;
            mTable = new MembershipTable(member, incarnation, mRandom, mNowNanos);
            mFreshness = new ConfigurationFreshness(member.failureDomain());
        }

        private void start(List<Member> listed) {
            mTable.onPlatformList(listed, mNowNanos);
            mFreshness.onInstances(mTable.failureDomains(), mTable.isOnlyInstanceInDomain());
            schedule(name(), mRandom.nextLong(500 * MILLI), this::tick);
        }

        String name() {
            return mMember.id().value();
        }

        void tick() {
            boolean all = mFreshness.needsHeartbeatAnswers(mNowNanos);
            for (HeartbeatTarget each : mTable.tick(mNowNanos)) {
                sendHeartbeat(each.peer(), all || each.answerWanted());
            }
            if (!mStoreCheckPending && mFreshness.isStoreCheckDue(mNowNanos)) {
                checkStore();
            }
            mConfigurationState.nextFetch(mNowNanos).ifPresent(each -> fetch(each.peer()));
            schedule(name(), TICK_NANOS, this::tick);
        }

        private void sendHeartbeat(InstanceId peer, boolean answerWanted) {
            long sent = mNowNanos;
            Instance other = mInstances.get(Integer.parseInt(peer.value().substring(1)));
            HeartbeatContent view = heartbeatContent(answerWanted);
            mHeartbeats++;
            boolean[] answered = {false};
            send(
                    this,
                    other,
                    () -> {
                        other.onHeartbeat(view);
                        if (answerWanted) {
                            HeartbeatContent answer = other.heartbeatContent(false);
                            mHeartbeats++;
                            send(
                                    other,
                                    this,
                                    () -> {
                                        answered[0] = true;
                                        onHeartbeat(answer);
                                        mFreshness.onHeartbeatAnswer(answer, sent, mNowNanos);
                                    });
                        }
                    });
            if (answerWanted) {
                schedule(
                        name(),
                        MembershipTable.ANSWER_TIMEOUT_NANOS,
                        () -> {
                            if (!answered[0]) {
                                mTable.onHeartbeatFailure(peer, mNowNanos);
                            }
                        });
            }
        }

        private HeartbeatContent heartbeatContent(boolean answerWanted) {
            return mTable.heartbeat(
                    mFreshness.status(List.of(), mNowNanos), answerWanted, mNowNanos);
        }

        private void onHeartbeat(HeartbeatContent view) {
            mTable.onHeartbeat(view, mNowNanos);
            mFreshness.onHeartbeat(view, mNowNanos);
            mConfigurationState.onPeerVersion(
                    view.instance(), view.status().configurationVersion());
        }

        private void fetch(InstanceId peer) {
            Instance other = mInstances.get(Integer.parseInt(peer.value().substring(1)));
            send(
                    this,
                    other,
                    () -> {
                        Configuration found = other.mConfigurationState.current();
                        send(other, this, () -> accept(found));
                    });
        }

        private void accept(Configuration configuration) {
            mConfigurationState.offer(configuration);
            mFreshness.onVersionInForce(mConfigurationState.current().version());
        }

        private void checkStore() {
            mStoreCheckPending = true;
            long sent = mNowNanos;
            if (reachesStore(this)) {
                schedule(
                        STORE_NODE,
                        randomNetworkDelay(),
                        () -> {
                            Configuration found = mStoredConfiguration;
                            schedule(
                                    name(),
                                    storeDelay(this),
                                    () -> onStoreCheckEnded(sent, Optional.of(found)));
                        });
            }
            schedule(name(), 1_000 * MILLI, () -> onStoreCheckEnded(sent, Optional.empty()));
        }

        private void onStoreCheckEnded(long sent, Optional<Configuration> found) {
            if (found.isPresent()) {
                accept(found.get());
                mFreshness.onStoreAnswer(found.get().version(), sent, mNowNanos);
            } else if (mStoreCheckPending) {
                mFreshness.onStoreFailure(sent, mNowNanos);
            }
            mStoreCheckPending = false;
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
    public long mNowNanos = 1_000 * MILLI;
    public final List<Instance> mInstances = new ArrayList<>();
    public final Set<String> mPartitioned = new HashSet<>();
    public final Set<String> mStopped = new HashSet<>();
    public final Map<String, Long> mPausedUntil = new HashMap<>();
    public boolean mStoreUp = true;
    public long mMaxNetworkDelayNanos = 3 * MILLI;

    /** How much later the store's answers and watches reach all instances but the first. */
    public long mStoreDelayNanos;

    public long mHeartbeats;
    private Configuration mStoredConfiguration = Configuration.EMPTY;
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
    public void assertLiveCount(int count, String what) {
        for (Instance each : mInstances) {
            if (!mStopped.contains(each.name())) {
                int live = each.mTable.snapshot().members().size();
                assertEquals(live, count, what + ", at " + each.name());
            }
        }
    }

    /** Runs all events of a span of time. */
    public void runFor(long nanos) {
        long end = mNowNanos + nanos;
        while (!mEvents.isEmpty() && mEvents.peek().at() <= end) {
            Event event = mEvents.poll();
            mNowNanos = event.at();
            event.action().run();
        }
        mNowNanos = end;
    }

    /** Applies a change from a failure domain, when the store and an instance there can see it. */
    public void changeConfiguration(String domain) {
        boolean seen =
                mInstances.stream()
                        .anyMatch(
                                each ->
                                        each.mMember.failureDomain().value().equals(domain)
                                                && reachesStore(each)
                                                && !isPaused(each.name()));
        if (seen) {
            mStoredConfiguration =
                    new Configuration(
                            mStoredConfiguration.version() + 1,
                            List.of(),
                            ConfigurationParts.EMPTY);
            mAcceptedNanos.add(mNowNanos);
            Configuration changed = mStoredConfiguration;
            for (Instance each : mInstances) {
                if (reachesStore(each)) {
                    schedule(each.name(), storeDelay(each), () -> onWatch(each, changed));
                }
            }
        }
    }

    private void onWatch(Instance instance, Configuration changed) {
        if (mStoreDelayNanos == 0 || reachesStore(instance)) {
            instance.accept(changed);
        }
    }

    private long storeDelay(Instance instance) {
        return randomNetworkDelay() + (instance == mInstances.get(0) ? 0 : mStoreDelayNanos);
    }

    /** Returns the number of instances that have the store's version in force. */
    public long countUpToDate() {
        return mInstances.stream()
                .filter(
                        each ->
                                each.mConfigurationState.current().version()
                                        == mStoredConfiguration.version())
                .count();
    }

    /** Returns whether an instance stands still. */
    public boolean isPaused(String node) {
        return mPausedUntil.getOrDefault(node, 0L) > mNowNanos;
    }

    /** Cuts an instance off from all others and the store, or a domain from the other domains. */
    public void partition(String domainOrInstance) {
        mPartitioned.add(domainOrInstance);
    }

    private boolean reachesStore(Instance instance) {
        return mStoreUp
                && !mPartitioned.contains(instance.name())
                && !mPartitioned.contains(instance.mMember.failureDomain().value());
    }

    private boolean isPartitioned(Instance a, Instance b) {
        String domainA = a.mMember.failureDomain().value();
        String domainB = b.mMember.failureDomain().value();
        return mPartitioned.contains(a.name())
                || mPartitioned.contains(b.name())
                || !domainA.equals(domainB)
                        && (mPartitioned.contains(domainA) || mPartitioned.contains(domainB));
    }

    private long randomNetworkDelay() {
        return MILLI / 2 + mRandom.nextLong(mMaxNetworkDelayNanos);
    }

    private void send(Instance from, Instance to, Runnable action) {
        if (!isPartitioned(from, to)) {
            schedule(to.name(), randomNetworkDelay(), action);
        }
    }

    private void schedule(String node, long nanos, Runnable action) {
        mEvents.add(
                new Event(
                        mNowNanos + nanos,
                        mOrder++,
                        () -> {
                            if (isPaused(node)) {
                                schedule(node, mPausedUntil.get(node) - mNowNanos, action);
                            } else if (!mStopped.contains(node)) {
                                action.run();
                            }
                        }));
    }
}
