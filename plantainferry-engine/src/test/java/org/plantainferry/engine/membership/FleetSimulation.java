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

/** Simulates the heartbeats and configuration exchange of a fleet, with a model of the store. */
public final class FleetSimulation {
    public static final long MILLI = 1_000_000;
    private static final long TICK_NANOS = 50 * MILLI;
    private static final String STORE_NODE = "store";

    private record Event(long at, long order, Runnable action) {}

    /** Simulates one instance. */
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
            boolean allAnswersWanted = mFreshness.needsHeartbeatAnswers(mNowNanos);
            for (HeartbeatTarget target : mTable.tick(mNowNanos)) {
                sendHeartbeat(target.peer(), allAnswersWanted || target.answerWanted());
            }
            if (!mStoreCheckPending && mFreshness.isStoreCheckDue(mNowNanos)) {
                checkStore();
            }
            mConfigurationState.nextFetch(mNowNanos).ifPresent(fetch -> fetch(fetch.peer()));
            schedule(name(), TICK_NANOS, this::tick);
        }

        private void sendHeartbeat(InstanceId peer, boolean answerWanted) {
            long sentNanos = mNowNanos;
            Instance receiver = mInstances.get(Integer.parseInt(peer.value().substring(1)));
            HeartbeatContent heartbeat = heartbeatContent(answerWanted);
            mHeartbeats++;
            boolean[] answered = {false};
            send(
                    this,
                    receiver,
                    () -> {
                        receiver.onHeartbeat(heartbeat);
                        if (answerWanted) {
                            HeartbeatContent answer = receiver.heartbeatContent(false);
                            mHeartbeats++;
                            send(
                                    receiver,
                                    this,
                                    () -> {
                                        answered[0] = true;
                                        onHeartbeat(answer);
                                        mFreshness.onHeartbeatAnswer(answer, sentNanos, mNowNanos);
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

        private void onHeartbeat(HeartbeatContent heartbeat) {
            mTable.onHeartbeat(heartbeat, mNowNanos);
            mFreshness.onHeartbeat(heartbeat, mNowNanos);
            mConfigurationState.onPeerVersion(
                    heartbeat.instance(), heartbeat.status().configurationVersion());
        }

        private void fetch(InstanceId peer) {
            Instance source = mInstances.get(Integer.parseInt(peer.value().substring(1)));
            send(
                    this,
                    source,
                    () -> {
                        Configuration found = source.mConfigurationState.current();
                        send(source, this, () -> accept(found));
                    });
        }

        private void accept(Configuration configuration) {
            mConfigurationState.offer(configuration);
            mFreshness.onVersionInForce(mConfigurationState.current().version());
        }

        private void checkStore() {
            mStoreCheckPending = true;
            long sentNanos = mNowNanos;
            if (reachesStore(this)) {
                schedule(
                        STORE_NODE,
                        randomNetworkDelay(),
                        () -> {
                            Configuration found = mStoredConfiguration;
                            schedule(
                                    name(),
                                    storeDelay(this),
                                    () -> onStoreCheckEnded(sentNanos, Optional.of(found)));
                        });
            }
            schedule(name(), 1_000 * MILLI, () -> onStoreCheckEnded(sentNanos, Optional.empty()));
        }

        private void onStoreCheckEnded(long sentNanos, Optional<Configuration> found) {
            if (found.isPresent()) {
                accept(found.get());
                mFreshness.onStoreAnswer(found.get().version(), sentNanos, mNowNanos);
            } else if (mStoreCheckPending) {
                mFreshness.onStoreFailure(sentNanos, mNowNanos);
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

    /** Additional delay of the store's answers and watches for all instances except the first. */
    public long mStoreDelayNanos;

    public long mHeartbeats;
    private Configuration mStoredConfiguration = Configuration.EMPTY;
    public final List<Long> mAcceptedNanos = new ArrayList<>(List.of(0L));

    /** Creates a fleet in which every instance lists all others. */
    public FleetSimulation(long seed, int domains, int perDomain) {
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < domains * perDomain; i++) {
            FailureDomain domain = new FailureDomain("d" + i % domains);
            members.add(new Member(new InstanceId("i" + i), domain, "a", "a", "a", false));
        }
        members.forEach(member -> mInstances.add(new Instance(member, 1)));
        mInstances.forEach(instance -> instance.start(members));
    }

    /** Stops all instances of a failure domain. */
    public void stop(FailureDomain domain) {
        for (Instance instance : mInstances) {
            if (instance.mMember.failureDomain().equals(domain)) {
                mStopped.add(instance.name());
            }
        }
    }

    /** Replaces all instances of a failure domain by new processes with a greater incarnation. */
    public void restart(FailureDomain domain) {
        List<Member> members = mInstances.stream().map(instance -> instance.mMember).toList();
        for (int i = 0; i < members.size(); i++) {
            if (members.get(i).failureDomain().equals(domain)) {
                mStopped.remove(mInstances.get(i).name());
                mInstances.set(i, new Instance(members.get(i), 2));
                mInstances.get(i).start(members);
            }
        }
    }

    /** Asserts that all running instances consider the given number of instances live. */
    public void assertLiveCount(int count, String description) {
        for (Instance instance : mInstances) {
            if (!mStopped.contains(instance.name())) {
                int live = instance.mTable.snapshot().members().size();
                assertEquals(live, count, description + ", at " + instance.name());
            }
        }
    }

    /** Advances the simulated time by the given duration and runs all events due in it. */
    public void runFor(long nanos) {
        long end = mNowNanos + nanos;
        while (!mEvents.isEmpty() && mEvents.peek().at() <= end) {
            Event event = mEvents.poll();
            mNowNanos = event.at();
            event.action().run();
        }
        mNowNanos = end;
    }

    /**
     * Changes the stored configuration if the store is reachable for an instance of the failure
     * domain that is not paused.
     */
    public void changeConfiguration(String domain) {
        boolean received =
                mInstances.stream()
                        .anyMatch(
                                instance ->
                                        instance.mMember.failureDomain().value().equals(domain)
                                                && reachesStore(instance)
                                                && !isPaused(instance.name()));
        if (received) {
            mStoredConfiguration =
                    new Configuration(
                            mStoredConfiguration.version() + 1,
                            List.of(),
                            ConfigurationParts.EMPTY);
            mAcceptedNanos.add(mNowNanos);
            Configuration changed = mStoredConfiguration;
            for (Instance instance : mInstances) {
                if (reachesStore(instance)) {
                    schedule(
                            instance.name(),
                            storeDelay(instance),
                            () -> onWatch(instance, changed));
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

    /** Returns the number of instances on which the stored version is in force. */
    public long countUpToDate() {
        return mInstances.stream()
                .filter(
                        instance ->
                                instance.mConfigurationState.current().version()
                                        == mStoredConfiguration.version())
                .count();
    }

    /** Returns whether an instance is paused. */
    public boolean isPaused(String node) {
        return mPausedUntil.getOrDefault(node, 0L) > mNowNanos;
    }

    /**
     * Partitions an instance from all others and the store, or a domain from the other domains and
     * the store.
     */
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
