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
     * Opens the peer listener and builds everything else; {@link #start} begins to serve.
     *
     * @throws PlantainferryException with {@link ErrorCode#CONFIGURATION_INVALID} when a file of
     *     the settings cannot be used
     */
    public InstanceDaemon(DaemonSettings settings) {
        mSettings = settings;
        LongSupplier clock = System::nanoTime;
        mClock = clock;
        SessionTokenCodec tokens = SessionSecrets.readCodec(settings.sessionSecretFiles());
        Optional<TlsContexts> tls = settings.tls().map(TlsContexts::read);
        Optional<InetAddress> local = Optional.of(parseLocalAddress(settings));
        mGroup =
                new MultiThreadIoEventLoopGroup(
                        0, new DefaultThreadFactory("traffic", true), NioIoHandler.newFactory());
        mControlLoop = new ControlLoop();
        mStore =
                new HttpPlatformStore(
                        mGroup, settings.storeAddress(), local, StoreTimeouts.DEFAULT);
        mTargetConnector = new NettyTargetConnector(mGroup, local);
        PeerDispatcher dispatcher = new PeerDispatcher();
        mPeers = newPeerTransport(settings, local, tls, dispatcher);
        AtomicReference<TrafficSnapshot> snapshot =
                new AtomicReference<>(TrafficSnapshot.initial(clock.getAsLong()));
        mSnapshot = snapshot::get;
        CallerAuthenticator authority = new SnapshotCallerAuthenticator(snapshot::get, clock);
        ProbeConnectionPool probes = new ProbeConnectionPool(mTargetConnector);
        ControlPlaneFactory factory =
                new ControlPlaneFactory(controlContext(settings, clock), mPeers, probes, snapshot);
        PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        StatementCounter counter = new StatementMetrics(registry);
        ServiceDispatcherRegistry lanes =
                newDispatchers(settings, clock, authority, factory, probes, tokens, counter);
        mControl = factory.create(lanes);
        PeerForwarder forwarder = new PeerForwarder(() -> mPeers, tokens, clock);
        RequestRouter director =
                new RequestRouter(
                        settings.instance(),
                        snapshot::get,
                        lanes,
                        mControl.tokenBuckets(),
                        forwarder,
                        mGroup,
                        clock);
        factory.connect(dispatcher, message -> forwarder.handle(message, authority, director));
        mMetrics = new RequestMetrics(registry);
        InstanceMetrics.register(registry, snapshot::get, lanes, mControlLoop);
        mCallers = newCallers(settings, tls, authority, tokens, director, snapshot::get, clock);
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
            CallerAuthenticator authority,
            SessionTokenCodec tokens,
            RequestRouter director,
            Supplier<TrafficSnapshot> snapshot,
            LongSupplier clock) {
        return new CallerServer(
                settings.callerListener(),
                tls.map(TlsContexts::callerContext),
                settings.instance(),
                authority,
                tokens,
                settings.defaultDeadlineMillis(),
                director,
                mMetrics,
                () -> !snapshot.get().drain().ready(),
                clock);
    }

    private ServiceDispatcherRegistry newDispatchers(
            DaemonSettings settings,
            LongSupplier clock,
            CallerAuthenticator authority,
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
                authority,
                factory.trafficListener(),
                probes,
                tokens,
                counter);
    }

    private PeerTransport newPeerTransport(
            DaemonSettings settings,
            Optional<InetAddress> local,
            Optional<TlsContexts> tls,
            PeerDispatcher dispatcher) {
        InetSocketAddress listen =
                new InetSocketAddress(
                        settings.peerListener().host(), settings.peerListener().port());
        PeerSettings peerSettings =
                new PeerSettings(
                        listen,
                        local,
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
     * Starts control and the operators' listener.
     *
     * <p>The callers' listener opens when a configuration is in force and confirmed, or some
     * seconds after the first one when nobody confirms it. Until then an instance could only
     * refuse.
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
        long since = isConfigured ? configuredNanos : now;
        if (isConfigured && (isConfirmed || now - since >= MAX_CONFIRMATION_WAIT_NANOS)) {
            open();
            return;
        }
        mGroup.next()
                .schedule(
                        () -> openOnceConfigured(since),
                        OPEN_POLL_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void open() {
        mCallers.start();
        mOpen = true;
        LogEvent.STARTED.log(
                mSettings.instance(), mSettings.failureDomain(), mSettings.callerListener());
    }

    /** Returns whether a drain order or a signal has ended the work of this instance. */
    public boolean isDrained() {
        mControl.onRequestsInProgress(mMetrics.inProgress());
        return mControl.drainPhase() == DrainPhase.CLOSED;
    }

    /** Drains in answer to a signal, and returns when no work is left or the time is over. */
    public void drain() throws InterruptedException {
        mControl.drain(DrainCause.SIGNAL);
        awaitDrained();
    }

    /** Waits until the work of this instance has ended, and writes the last answers. */
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
