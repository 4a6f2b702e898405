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
 * Holds the dispatcher of each service and passes decisions of control to the dispatchers.
 *
 * <p>Thread-safe. Each dispatcher runs on one event loop of the group.
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
     * Creates a registry without dispatchers.
     *
     * @param randomFactory creates the random source of a dispatcher
     * @param readPolicyFactory creates the read policy of a dispatcher
     */
    public ServiceDispatcherRegistry(
            InstanceId instance,
            EventLoopGroup eventLoops,
            TargetConnector connector,
            Supplier<UniformRandomProvider> randomFactory,
            Supplier<ReadPolicy> readPolicyFactory,
            LongSupplier clock,
            CallerAuthenticator authenticator,
            TrafficListener listener,
            ServerStateReader stateReader,
            SessionTokenCodec tokens,
            StatementCounter counter) {
        mEventLoops = eventLoops;
        mConnector = connector;
        mRandomFactory = randomFactory;
        mReadPolicyFactory = readPolicyFactory;
        mClock = clock;
        mAuthenticator = authenticator;
        mListener = listener;
        mStateReader = stateReader;
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

    /**
     * Applies the configuration of a service, and creates its dispatcher if there is none.
     *
     * <p>Must be called on the control thread only.
     *
     * @param instances the number of instances that hold connections to the service
     */
    public void configure(Service service, int instances, List<Workspace> workspaces) {
        ServiceDispatcher dispatcher = mDispatchers.get(service.name());
        if (dispatcher == null) {
            dispatcher = newDispatcher(service);
            mDispatchers.put(service.name(), dispatcher);
            scheduleMaintenance(dispatcher);
        }
        ServiceDispatcher configured = dispatcher;
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

    /** Schedules the periodic tasks of a dispatcher until its service is withdrawn. */
    private void scheduleMaintenance(ServiceDispatcher dispatcher) {
        scheduleRepeatedly(dispatcher, () -> maintain(dispatcher), EVICTION_INTERVAL_MILLIS);
        scheduleRepeatedly(dispatcher, dispatcher::probeUnusable, PROBE_INTERVAL_MILLIS);
    }

    private void scheduleRepeatedly(ServiceDispatcher dispatcher, Runnable task, long delayMillis) {
        dispatcher
                .eventLoop()
                .schedule(
                        () -> {
                            if (mDispatchers.get(dispatcher.service().name()) == dispatcher) {
                                task.run();
                                scheduleRepeatedly(dispatcher, task, delayMillis);
                            }
                        },
                        delayMillis,
                        TimeUnit.MILLISECONDS);
    }

    private void maintain(ServiceDispatcher dispatcher) {
        dispatcher.evictIdle();
        long now = mClock.getAsLong();
        mTransactions
                .findMatching(
                        transaction ->
                                transaction.dispatcher() == dispatcher
                                        && transaction.isIdle(MAX_TRANSACTION_IDLE_NANOS, now))
                .forEach(PinnedTransaction::abort);
    }

    /** Removes the dispatchers of all services that are not in the collection. */
    public void retain(Collection<ServiceName> services) {
        List<ServiceDispatcher> withdrawn =
                mDispatchers.values().stream()
                        .filter(dispatcher -> !services.contains(dispatcher.service().name()))
                        .toList();
        for (ServiceDispatcher dispatcher : withdrawn) {
            mDispatchers.remove(dispatcher.service().name());
            dispatcher.eventLoop().execute(dispatcher::onServiceWithdrawn);
        }
    }

    /** Fails queued requests and aborts open transactions of withdrawn keys. */
    public void withdrawKeys(Set<KeyReference> keys) {
        if (keys.isEmpty()) {
            return;
        }
        mDispatchers
                .values()
                .forEach(
                        dispatcher ->
                                dispatcher
                                        .eventLoop()
                                        .execute(() -> dispatcher.withdrawKeys(keys)));
        mTransactions
                .findMatching(transaction -> transaction.usesAnyKeyOf(keys))
                .forEach(
                        transaction ->
                                transaction.dispatcher().eventLoop().execute(transaction::abort));
    }

    /** Passes the observation of a server on to its dispatcher; ignored without a dispatcher. */
    public void observe(ServiceName service, ServerObservation observation) {
        dispatcher(service)
                .ifPresent(
                        dispatcher ->
                                dispatcher
                                        .eventLoop()
                                        .execute(() -> dispatcher.observe(observation)));
    }

    /** Passes the primary of a term on to the dispatcher; ignored without a dispatcher. */
    public void learnPrimary(ServiceName service, long term, Optional<ServerId> primary) {
        dispatcher(service)
                .ifPresent(
                        dispatcher ->
                                dispatcher
                                        .eventLoop()
                                        .execute(() -> dispatcher.learnPrimary(term, primary)));
    }
}
