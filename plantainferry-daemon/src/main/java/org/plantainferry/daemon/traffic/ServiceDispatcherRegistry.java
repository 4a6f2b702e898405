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
    private static final long EVICTION_INTERVAL_MILLIS = 10_000;
    private static final long PROBE_INTERVAL_MILLIS = 100;
    private static final long MAX_TRANSACTION_IDLE_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final EventLoopGroup mEventLoops;
    private final TargetConnector mConnector;
    private final Supplier<UniformRandomProvider> mRandomFactory;
    private final Supplier<ReadPolicy> mReadPolicyFactory;
    private final LongSupplier mClock;
    private final CallerAuthenticator mAuthenticator;
    private final TrafficListener mListener;
    private final ServerStateReader mStateReader;
    private final TransactionRegistry mTransactions;
    private final CallerAnswerFactory mAnswerFactory;
    private final Map<ServiceName, ServiceDispatcher> mDispatchers = new ConcurrentHashMap<>();

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
        mEventLoops = group;
        mConnector = connector;
        mRandomFactory = randoms;
        mReadPolicyFactory = readPolicies;
        mClock = clock;
        mAuthenticator = authority;
        mListener = events;
        mStateReader = states;
        mTransactions = new TransactionRegistry(instance);
        mAnswerFactory = new CallerAnswerFactory(tokens, counter);
    }

    Optional<ServiceDispatcher> dispatcher(ServiceName service) {
        return Optional.ofNullable(mDispatchers.get(service));
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
        ServiceDispatcher lane = mDispatchers.get(service.name());
        if (lane == null) {
            lane = newDispatcher(service);
            mDispatchers.put(service.name(), lane);
            scheduleMaintenance(lane);
        }
        ServiceDispatcher configured = lane;
        configured.eventLoop().execute(() -> configured.configure(service, instances, workspaces));
    }

    private ServiceDispatcher newDispatcher(Service service) {
        return new ServiceDispatcher(
                service,
                mEventLoops.next(),
                mConnector,
                mReadPolicyFactory.get(),
                mRandomFactory.get(),
                mClock,
                mAuthenticator,
                mListener,
                mStateReader,
                mTransactions,
                mAnswerFactory);
    }

    /** Runs the lane's periodic work until the service is withdrawn. */
    private void scheduleMaintenance(ServiceDispatcher lane) {
        scheduleRepeatedly(lane, () -> maintain(lane), EVICTION_INTERVAL_MILLIS);
        scheduleRepeatedly(lane, lane::probeUnusable, PROBE_INTERVAL_MILLIS);
    }

    private void scheduleRepeatedly(ServiceDispatcher lane, Runnable work, long pauseMillis) {
        lane.eventLoop()
                .schedule(
                        () -> {
                            if (mDispatchers.get(lane.service().name()) == lane) {
                                work.run();
                                scheduleRepeatedly(lane, work, pauseMillis);
                            }
                        },
                        pauseMillis,
                        TimeUnit.MILLISECONDS);
    }

    private void maintain(ServiceDispatcher lane) {
        lane.evictIdle();
        long now = mClock.getAsLong();
        mTransactions
                .findMatching(
                        each ->
                                each.dispatcher() == lane
                                        && each.isIdle(MAX_TRANSACTION_IDLE_NANOS, now))
                .forEach(PinnedTransaction::abort);
    }

    /** Stops serving the services that are not in the collection. */
    public void retain(Collection<ServiceName> services) {
        List<ServiceDispatcher> withdrawn =
                mDispatchers.values().stream()
                        .filter(lane -> !services.contains(lane.service().name()))
                        .toList();
        for (ServiceDispatcher lane : withdrawn) {
            mDispatchers.remove(lane.service().name());
            lane.eventLoop().execute(lane::onServiceWithdrawn);
        }
    }

    /** Ends queued requests and open transactions of withdrawn keys. */
    public void withdrawKeys(Set<KeyReference> keys) {
        if (keys.isEmpty()) {
            return;
        }
        mDispatchers
                .values()
                .forEach(lane -> lane.eventLoop().execute(() -> lane.withdrawKeys(keys)));
        mTransactions
                .findMatching(each -> each.usesAnyKeyOf(keys))
                .forEach(each -> each.dispatcher().eventLoop().execute(each::abort));
    }

    /** Passes on what a probe says of a server. */
    public void observe(ServiceName service, ServerObservation observation) {
        dispatcher(service)
                .ifPresent(lane -> lane.eventLoop().execute(() -> lane.observe(observation)));
    }

    /** Passes on the primary of a term. */
    public void learnPrimary(ServiceName service, long term, Optional<ServerId> primary) {
        dispatcher(service)
                .ifPresent(
                        lane -> lane.eventLoop().execute(() -> lane.learnPrimary(term, primary)));
    }
}
