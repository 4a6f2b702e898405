package org.plantainferry.daemon.traffic;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.configuration.Service;
import org.plantainferry.api.configuration.Workspace;
import org.plantainferry.api.session.SessionTokenCodec;
import org.plantainferry.engine.configuration.KeyReference;
import org.plantainferry.engine.routing.ReadPolicy;
import org.plantainferry.engine.routing.ServerObservation;
import org.plantainferry.network.target.TargetConnector;

/**
 * Finds the lane of each service and passes control's decisions to the lanes.
 *
 * <p>Safe for use by several threads; each lane runs on its own event loop.
 *
 * @since 0.1
 */
public final class LaneDirectory {
    private static final long EVICTION_SECONDS = 10;
    private static final long PROBE_MILLIS = 100;
    private static final long TRANSACTION_IDLE_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final EventLoopGroup mGroup;
    private final TargetConnector mConnector;
    private final Supplier<UniformRandomProvider> mRandoms;
    private final Supplier<ReadPolicy> mReadPolicies;
    private final LongSupplier mClock;
    private final CallerAuthority mAuthority;
    private final TrafficEvents mEvents;
    private final StateReader mStates;
    private final TransactionRegistry mTransactions;
    private final AnswerWriter mAnswers;
    private final Map<ServiceName, ServiceLane> mLanes = new ConcurrentHashMap<>();

    /**
     * Creates a directory without lanes.
     *
     * @param randoms creates a random source for each lane
     * @param readPolicies creates a read policy for each lane
     */
    public LaneDirectory(
            InstanceId instance,
            EventLoopGroup group,
            TargetConnector connector,
            Supplier<UniformRandomProvider> randoms,
            Supplier<ReadPolicy> readPolicies,
            LongSupplier clock,
            CallerAuthority authority,
            TrafficEvents events,
            StateReader states,
            SessionTokenCodec tokens) {
        mGroup = group;
        mConnector = connector;
        mRandoms = randoms;
        mReadPolicies = readPolicies;
        mClock = clock;
        mAuthority = authority;
        mEvents = events;
        mStates = states;
        mTransactions = new TransactionRegistry(instance);
        mAnswers = new AnswerWriter(tokens);
    }

    Optional<ServiceLane> lane(ServiceName service) {
        return Optional.ofNullable(mLanes.get(service));
    }

    TransactionRegistry transactions() {
        return mTransactions;
    }

    /** Returns the number of open transactions on this instance. */
    public int openTransactions() {
        return mTransactions.size();
    }

    /** Takes over a service; creates its lane at first. */
    public void configure(Service service, int instances, List<Workspace> workspaces) {
        ServiceLane lane = mLanes.computeIfAbsent(service.name(), name -> newLane(service));
        lane.loop().execute(() -> lane.configure(service, instances, workspaces));
    }

    private ServiceLane newLane(Service service) {
        EventLoop loop = mGroup.next();
        ServiceLane lane =
                new ServiceLane(
                        service,
                        loop,
                        mConnector,
                        mReadPolicies.get(),
                        mRandoms.get(),
                        mClock,
                        mAuthority,
                        mEvents,
                        mStates,
                        mTransactions,
                        mAnswers);
        loop.scheduleAtFixedRate(
                () -> maintain(lane), EVICTION_SECONDS, EVICTION_SECONDS, TimeUnit.SECONDS);
        loop.scheduleAtFixedRate(
                lane::probeUnusable, PROBE_MILLIS, PROBE_MILLIS, TimeUnit.MILLISECONDS);
        return lane;
    }

    private void maintain(ServiceLane lane) {
        lane.evictIdle();
        long now = mClock.getAsLong();
        mTransactions
                .matching(each -> each.lane() == lane && each.isIdle(TRANSACTION_IDLE_NANOS, now))
                .forEach(PinnedTransaction::abort);
    }

    /** Stops serving the services that are not in the collection. */
    public void retain(Collection<ServiceName> services) {
        mLanes.keySet().retainAll(services);
    }

    /** Ends queued requests and open transactions of withdrawn keys. */
    public void withdraw(Set<KeyReference> keys) {
        if (keys.isEmpty()) {
            return;
        }
        mLanes.values().forEach(lane -> lane.loop().execute(() -> lane.withdraw(keys)));
        mTransactions
                .matching(each -> each.isOf(keys))
                .forEach(each -> each.lane().loop().execute(each::abort));
    }

    /** Passes on what a probe says of a server. */
    public void observe(ServiceName service, ServerObservation observation) {
        lane(service).ifPresent(lane -> lane.loop().execute(() -> lane.observe(observation)));
    }

    /** Passes on the primary of a term. */
    public void learnPrimary(ServiceName service, long term, Optional<ServerId> primary) {
        lane(service)
                .ifPresent(lane -> lane.loop().execute(() -> lane.learnPrimary(term, primary)));
    }
}
