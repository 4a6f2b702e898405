package org.plantainferry.daemon;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.session.SessionTokenCodec;
import org.plantainferry.daemon.control.ControlContext;
import org.plantainferry.daemon.control.ControlLoop;
import org.plantainferry.daemon.control.ControlPlane;
import org.plantainferry.daemon.control.ControlPlaneFactory;
import org.plantainferry.daemon.control.PeerDispatcher;
import org.plantainferry.daemon.control.ProbeConnectionPool;
import org.plantainferry.daemon.control.StatusWriter;
import org.plantainferry.daemon.http.CallerServer;
import org.plantainferry.daemon.http.OperatorServer;
import org.plantainferry.daemon.log.LogEvent;
import org.plantainferry.daemon.metrics.InstanceMetrics;
import org.plantainferry.daemon.metrics.RequestMetrics;
import org.plantainferry.daemon.metrics.StatementMetrics;
import org.plantainferry.daemon.settings.DaemonSettings;
import org.plantainferry.daemon.settings.SessionSecrets;
import org.plantainferry.daemon.settings.TlsContexts;
import org.plantainferry.daemon.traffic.CallerAuthenticator;
import org.plantainferry.daemon.traffic.PeerForwarder;
import org.plantainferry.daemon.traffic.RequestRouter;
import org.plantainferry.daemon.traffic.ServiceDispatcherRegistry;
import org.plantainferry.daemon.traffic.SnapshotCallerAuthenticator;
import org.plantainferry.daemon.traffic.StatementCounter;
import org.plantainferry.daemon.traffic.TrafficSnapshot;
import org.plantainferry.engine.configuration.Freshness;
import org.plantainferry.engine.drain.DrainCause;
import org.plantainferry.engine.drain.DrainPhase;
import org.plantainferry.engine.routing.ReadPolicy;
import org.plantainferry.engine.routing.ReadRouter;
import org.plantainferry.engine.routing.RoundRobinReadRouter;
import org.plantainferry.network.peer.NettyPeerTransport;
import org.plantainferry.network.peer.PeerSettings;
import org.plantainferry.network.peer.PeerTransport;
import org.plantainferry.network.store.HttpPlatformStore;
import org.plantainferry.network.store.PlatformStore;
import org.plantainferry.network.store.StoreTimeouts;
import org.plantainferry.network.target.NettyTargetConnector;
import org.plantainferry.network.target.TargetConnector;

/**
 * Assembles and runs one instance.
 *
 * @since 0.1
 */
public final class InstanceDaemon implements AutoCloseable {
    private static final int DRAIN_POLL_INTERVAL_MILLIS = 20;
    private static final long FINAL_ANSWERS_TIMEOUT_MILLIS = 5_000;
    private static final long GROUP_CLOSE_TIMEOUT_MILLIS = 1_000;
    private static final long OPEN_POLL_INTERVAL_MILLIS = 20;
    private static final long MAX_CONFIRMATION_WAIT_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final DaemonSettings mSettings;
    private final EventLoopGroup mGroup;
    private final ControlLoop mControlLoop;
    private final PlatformStore mStore;
    private final TargetConnector mTargetConnector;
    private final PeerTransport mPeers;
    private final ControlPlane mControl;
    private final RequestMetrics mMetrics;
    private final CallerServer mCallers;
    private final OperatorServer mOperators;
    private final LongSupplier mClock;
    private final Supplier<TrafficSnapshot> mSnapshot;
    private volatile boolean mOpen;

    /**
     * Creates an instance and opens its peer listener; {@link #start} opens the other listeners.
     *
     * @throws PlantainferryException with {@link ErrorCode#CONFIGURATION_INVALID} when a file named
     *     in the settings cannot be used
     */
    public InstanceDaemon(DaemonSettings settings) {
        mSettings = settings;
        LongSupplier clock = System::nanoTime;
        mClock = clock;
        SessionTokenCodec tokens = SessionSecrets.readCodec(settings.sessionSecretFiles());
        Optional<TlsContexts> tls = settings.tls().map(TlsContexts::read);
        Optional<InetAddress> bind = Optional.of(parseLocalAddress(settings));
        mGroup =
                new MultiThreadIoEventLoopGroup(
                        0, new DefaultThreadFactory("traffic", true), NioIoHandler.newFactory());
        mControlLoop = new ControlLoop();
        mStore =
                new HttpPlatformStore(mGroup, settings.storeAddress(), bind, StoreTimeouts.DEFAULT);
        mTargetConnector = new NettyTargetConnector(mGroup, bind);
        PeerDispatcher dispatcher = new PeerDispatcher();
        mPeers = newPeerTransport(settings, bind, tls, dispatcher);
        AtomicReference<TrafficSnapshot> snapshot =
                new AtomicReference<>(TrafficSnapshot.initial(clock.getAsLong()));
        mSnapshot = snapshot::get;
        CallerAuthenticator authenticator = new SnapshotCallerAuthenticator(snapshot::get, clock);
        ProbeConnectionPool probes = new ProbeConnectionPool(mTargetConnector);
        ControlPlaneFactory factory =
                new ControlPlaneFactory(controlContext(settings, clock), mPeers, probes, snapshot);
        PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        StatementCounter counter = new StatementMetrics(registry);
        ServiceDispatcherRegistry dispatchers =
                newDispatchers(settings, clock, authenticator, factory, probes, tokens, counter);
        mControl = factory.create(dispatchers);
        PeerForwarder forwarder = new PeerForwarder(() -> mPeers, tokens, clock);
        RequestRouter router =
                new RequestRouter(
                        settings.instance(),
                        snapshot::get,
                        dispatchers,
                        mControl.tokenBuckets(),
                        forwarder,
                        mGroup,
                        clock);
        factory.connect(dispatcher, message -> forwarder.handle(message, authenticator, router));
        mMetrics = new RequestMetrics(registry);
        InstanceMetrics.register(registry, snapshot::get, dispatchers, mControlLoop);
        mCallers = newCallers(settings, tls, authenticator, tokens, router, snapshot::get, clock);
        StatusWriter status = new StatusWriter(mControl);
        mOperators =
                new OperatorServer(
                        settings.operatorListener(),
                        () -> mOpen && snapshot.get().drain().ready(),
                        registry::scrape,
                        status::write);
    }

    private CallerServer newCallers(
            DaemonSettings settings,
            Optional<TlsContexts> tls,
            CallerAuthenticator authenticator,
            SessionTokenCodec tokens,
            RequestRouter router,
            Supplier<TrafficSnapshot> snapshot,
            LongSupplier clock) {
        return new CallerServer(
                settings.callerListener(),
                tls.map(TlsContexts::callerContext),
                settings.instance(),
                authenticator,
                tokens,
                settings.defaultDeadlineMillis(),
                router,
                mMetrics,
                () -> !snapshot.get().drain().ready(),
                clock);
    }

    private ServiceDispatcherRegistry newDispatchers(
            DaemonSettings settings,
            LongSupplier clock,
            CallerAuthenticator authenticator,
            ControlPlaneFactory factory,
            ProbeConnectionPool probes,
            SessionTokenCodec tokens,
            StatementCounter counter) {
        return new ServiceDispatcherRegistry(
                settings.instance(),
                mGroup,
                mTargetConnector,
                InstanceDaemon::newRandom,
                readPolicies(settings),
                clock,
                authenticator,
                factory.trafficListener(),
                probes,
                tokens,
                counter);
    }

    private PeerTransport newPeerTransport(
            DaemonSettings settings,
            Optional<InetAddress> bind,
            Optional<TlsContexts> tls,
            PeerDispatcher dispatcher) {
        InetSocketAddress listenAddress =
                new InetSocketAddress(
                        settings.peerListener().host(), settings.peerListener().port());
        PeerSettings peerSettings =
                new PeerSettings(
                        listenAddress,
                        bind,
                        tls.map(TlsContexts::peerTls),
                        PeerSettings.DEFAULT_MAXIMUM_PENDING);
        return new NettyPeerTransport(mGroup, peerSettings, dispatcher);
    }

    private ControlContext controlContext(DaemonSettings settings, LongSupplier clock) {
        return new ControlContext(
                settings, System.currentTimeMillis(), mControlLoop, clock, newRandom(), mStore);
    }

    private static UniformRandomProvider newRandom() {
        return RandomSource.XO_RO_SHI_RO_128_PP.create();
    }

    private static Supplier<ReadPolicy> readPolicies(DaemonSettings settings) {
        if (settings.policy() == DaemonSettings.Policy.SIMPLE) {
            return RoundRobinReadRouter::new;
        }
        return () -> new ReadRouter(settings.failureDomain(), newRandom());
    }

    private static InetAddress parseLocalAddress(DaemonSettings settings) {
        try {
            return InetAddress.getByName(settings.localAddress());
        } catch (UnknownHostException e) {
            throw new PlantainferryException(
                    ErrorCode.CONFIGURATION_INVALID, "localAddress is not an IP number", e);
        }
    }

    /**
     * Starts control and opens the operators' listener.
     *
     * <p>The callers' listener opens once a configuration is in force and confirmed, or some
     * seconds after the first configuration if it stays unconfirmed. Before that the instance could
     * only refuse requests.
     */
    public void start() {
        mControl.start();
        mOperators.start();
        openOnceConfigured(mClock.getAsLong());
    }

    private void openOnceConfigured(long configuredNanos) {
        long now = mClock.getAsLong();
        TrafficSnapshot snapshot = mSnapshot.get();
        boolean isConfigured = snapshot.keys().version() > 0;
        boolean isConfirmed = snapshot.freshness().freshnessAt(now) != Freshness.ISOLATED;
        long configuredSinceNanos = isConfigured ? configuredNanos : now;
        if (isConfigured
                && (isConfirmed || now - configuredSinceNanos >= MAX_CONFIRMATION_WAIT_NANOS)) {
            open();
            return;
        }
        mGroup.next()
                .schedule(
                        () -> openOnceConfigured(configuredSinceNanos),
                        OPEN_POLL_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void open() {
        mCallers.start();
        mOpen = true;
        LogEvent.STARTED.log(
                mSettings.instance(), mSettings.failureDomain(), mSettings.callerListener());
    }

    /** Returns whether a drain, started by an order or a signal, has ended. */
    public boolean isDrained() {
        mControl.onRequestsInProgress(mMetrics.inProgress());
        return mControl.drainPhase() == DrainPhase.CLOSED;
    }

    /** Starts a drain because of a signal, and waits until it has ended or timed out. */
    public void drain() throws InterruptedException {
        mControl.drain(DrainCause.SIGNAL);
        awaitDrained();
    }

    /** Waits until the drain has ended, then refuses new requests and writes the last answers. */
    public void awaitDrained() throws InterruptedException {
        while (!isDrained()) {
            TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_INTERVAL_MILLIS);
        }
        mCallers.drain(FINAL_ANSWERS_TIMEOUT_MILLIS);
        LogEvent.DRAIN_ENDED.log(mMetrics.inProgress());
    }

    @Override
    public void close() {
        mCallers.close();
        mOperators.close();
        mControlLoop.close();
        mPeers.close();
        mStore.close();
        mGroup.shutdownGracefully(0, GROUP_CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(GROUP_CLOSE_TIMEOUT_MILLIS);
    }
}
