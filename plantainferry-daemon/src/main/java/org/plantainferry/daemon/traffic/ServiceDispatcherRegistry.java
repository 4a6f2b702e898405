package org.plantainferry.daemon.traffic;

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
public final class ServiceDispatcherRegistry {
    private static final long EVICTION_MILLIS = 10_000;
    private static final long PROBE_MILLIS = 100;
    private static final long TRANSACTION_IDLE_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final EventLoopGroup mGroup;
    private final TargetConnector mConnector;
    private final Supplier<UniformRandomProvider> mRandoms;
    private final Supplier<ReadPolicy> mReadPolicies;
    private final LongSupplier mClock;
    private final CallerAuthenticator mAuthority;
    private final TrafficListener mEvents;
    private final ServerStateReader mStates;
    private final TransactionRegistry mTransactions;
    private final CallerAnswerFactory mAnswers;
    private final Map<ServiceName, ServiceDispatcher> mLanes = new ConcurrentHashMap<>();

    /**
     * Creates a directory without lanes.
     *
     * @param randoms creates a random source for each lane
     * @param readPolicies creates a read policy for each lane
     */
    public ServiceDispatcherRegistry(
            InstanceId instance,
            EventLoopGroup group,
            TargetConnector connector,
            Supplier<UniformRandomProvider> randoms,
            Supplier<ReadPolicy> readPolicies,
            LongSupplier clock,
            CallerAuthenticator authority,
            TrafficListener events,
            ServerStateReader states,
            SessionTokenCodec tokens,
            StatementCounter counter) {
        mGroup = group;
        mConnector = connector;
        mRandoms = randoms;
        mReadPolicies = readPolicies;
        mClock = clock;
        mAuthority = authority;
        mEvents = events;
        mStates = states;
        mTransactions = new TransactionRegistry(instance);
        mAnswers = new CallerAnswerFactory(tokens, counter);
    }

    Optional<ServiceDispatcher> dispatcher(ServiceName service) {
        return Optional.ofNullable(mLanes.get(service));
    }

    TransactionRegistry transactions() {
        return mTransactions;
    }

    /** Returns the number of open transactions on this instance. */
    public int openTransactions() {
        return mTransactions.size();
    }

    /** Takes over a service; creates its lane at first. Called by the control thread only. */
    public void configure(Service service, int instances, List<Workspace> workspaces) {
        ServiceDispatcher lane = mLanes.get(service.name());
        if (lane == null) {
            lane = newLane(service);
            mLanes.put(service.name(), lane);
            scheduleMaintenance(lane);
        }
        ServiceDispatcher configured = lane;
        configured.loop().execute(() -> configured.configure(service, instances, workspaces));
    }

    private ServiceDispatcher newLane(Service service) {
        return new ServiceDispatcher(
                service,
                mGroup.next(),
                mConnector,
                mReadPolicies.get(),
                mRandoms.get(),
                mClock,
                mAuthority,
                mEvents,
                mStates,
                mTransactions,
                mAnswers);
    }

    /** Runs the lane's periodic work until the service is withdrawn. */
    private void scheduleMaintenance(ServiceDispatcher lane) {
        repeat(lane, () -> maintain(lane), EVICTION_MILLIS);
        repeat(lane, lane::probeUnusable, PROBE_MILLIS);
    }

    private void repeat(ServiceDispatcher lane, Runnable work, long pauseMillis) {
        lane.loop()
                .schedule(
                        () -> {
                            if (mLanes.get(lane.service().name()) == lane) {
                                work.run();
                                repeat(lane, work, pauseMillis);
                            }
                        },
                        pauseMillis,
                        TimeUnit.MILLISECONDS);
    }

    private void maintain(ServiceDispatcher lane) {
        lane.evictIdle();
        long now = mClock.getAsLong();
        mTransactions
                .matching(each -> each.lane() == lane && each.isIdle(TRANSACTION_IDLE_NANOS, now))
                .forEach(PinnedTransaction::abort);
    }

    /** Stops serving the services that are not in the collection. */
    public void retain(Collection<ServiceName> services) {
        List<ServiceDispatcher> withdrawn =
                mLanes.values().stream()
                        .filter(lane -> !services.contains(lane.service().name()))
                        .toList();
        for (ServiceDispatcher lane : withdrawn) {
            mLanes.remove(lane.service().name());
            lane.loop().execute(lane::retire);
        }
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
        dispatcher(service).ifPresent(lane -> lane.loop().execute(() -> lane.observe(observation)));
    }

    /** Passes on the primary of a term. */
    public void learnPrimary(ServiceName service, long term, Optional<ServerId> primary) {
        dispatcher(service)
                .ifPresent(lane -> lane.loop().execute(() -> lane.learnPrimary(term, primary)));
    }
}
