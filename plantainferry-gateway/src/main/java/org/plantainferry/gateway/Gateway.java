package org.plantainferry.gateway;

import io.micrometer.core.instrument.composite.CompositeMeterRegistry;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.plantainferry.engine.freshness.SuspensionAwareClock;
import org.plantainferry.engine.freshness.TimedPosition;
import org.plantainferry.gateway.control.ControlPlane;
import org.plantainferry.gateway.control.FleetController;
import org.plantainferry.gateway.feed.StoreFollowing;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.processor.LoopDelayProbe;
import org.plantainferry.gateway.processor.ProcessorMetrics;
import org.plantainferry.gateway.settings.ExperimentalSettings;
import org.plantainferry.gateway.settings.GatewaySettings;
import org.plantainferry.gateway.spi.InstanceEntry;
import org.plantainferry.gateway.spi.PlatformAdapter;
import org.plantainferry.gateway.spi.PlatformConnection;
import org.plantainferry.gateway.traffic.FleetView;
import org.plantainferry.gateway.traffic.PrimaryLeaseGuard;
import org.plantainferry.gateway.traffic.SessionCounts;
import org.plantainferry.gateway.traffic.SuspectedPrimaryListener;
import org.plantainferry.gateway.traffic.TokenGrant;
import org.plantainferry.gateway.traffic.TrafficMetrics;
import org.plantainferry.gateway.traffic.TrafficServer;
import org.plantainferry.gateway.warmup.WarmUp;

/**
 * Assembles and runs the gateway of one instance.
 *
 * @since 0.2
 */
public final class Gateway implements AutoCloseable {
    private static final long READY_POLL_MILLIS = 10;
    // The operators' endpoint opens after this time even without a configuration, so that operators
    // can see that the instance is not ready.
    private static final long OPERATOR_ENDPOINT_TIMEOUT_MILLIS = 3_000;
    private static final long OPERATOR_ENDPOINT_DELAY_MILLIS = 800;
    // With callers present, their first statements come first.
    private static final long BUSY_OPERATOR_ENDPOINT_DELAY_MILLIS = 2_800;
    // The load balancer stops sending new callers after two failed health checks, one a second.
    private static final long BALANCER_NOTICE_MILLIS = 2_300;
    private static final long DRAIN_POLL_MILLIS = 50;
    // After a restart under load, the first callers come within this time.
    private static final long WARM_UP_DELAY_MILLIS = 700;
    private static final long EXIT_RESERVE_MILLIS = 700;
    // The time in which the last answers reach the callers.
    private static final long LAST_ANSWERS_MILLIS = 200;

    private final GatewaySettings mSettings;
    private final EventLoopGroup mControlGroup;
    private final EventLoop mTrafficLoop;
    private final PlatformConnection mPlatform;
    private final LongSupplier mClock;
    private final ControlPlane mControlPlane;
    private final TrafficServer mTraffic;
    private final FleetController mFleetController;
    private final LoopDelayProbe mTrafficDelay;
    private final LoopDelayProbe mControlDelay;
    private final CompositeMeterRegistry mMeters = new CompositeMeterRegistry();
    private volatile boolean mDraining;
    private volatile boolean mOpen;

    /** Creates the gateway; {@link #start} begins to serve. */
    public Gateway(GatewaySettings settings, PlatformAdapter adapter) {
        mSettings = settings;
        EventLoopGroup controlGroup = singleThread("control");
        EventLoop traffic = singleThread("traffic").next();
        PlatformConnection platform = adapter.connect(settings, controlGroup);
        LongSupplier clock = new SuspensionAwareClock(System::nanoTime, System::currentTimeMillis);
        mControlGroup = controlGroup;
        mTrafficLoop = traffic;
        mPlatform = platform;
        mClock = clock;
        StoreFollowing following =
                new StoreFollowing(
                        controlGroup.next(),
                        settings.instance(),
                        settings.localAddress(),
                        clock,
                        this::onSourceLost);
        mControlPlane =
                new ControlPlane(
                        controlGroup.next(), settings, platform, clock, following, this::onView);
        PrimaryLeaseGuard guard = new PrimaryLeaseGuard(clock);
        TrafficMetrics metrics = new TrafficMetrics(mMeters);
        mTrafficDelay = new LoopDelayProbe(traffic, "traffic", clock);
        mControlDelay = new LoopDelayProbe(controlGroup.next(), "control", clock);
        mTraffic = newTrafficServer(metrics, guard);
        mFleetController =
                new FleetController(
                        controlGroup.next(),
                        settings,
                        platform,
                        mTraffic,
                        mControlPlane,
                        following,
                        clock,
                        guard,
                        metrics,
                        mControlDelay);
    }

    private TrafficServer newTrafficServer(TrafficMetrics metrics, PrimaryLeaseGuard guard) {
        return new TrafficServer(
                mTrafficLoop,
                mSettings,
                mPlatform.wireFormat(),
                mControlPlane::view,
                mClock,
                this::suspectedPrimaryListener,
                this::borrowTokens,
                this::requestPosition,
                this::reportDemand,
                metrics,
                guard,
                mTrafficDelay);
    }

    private static EventLoopGroup singleThread(String name) {
        return new MultiThreadIoEventLoopGroup(
                1, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
    }

    private void onView(FleetView view, Optional<Map<String, InstanceEntry>> otherInstances) {
        mTraffic.onFleetView(view);
        mFleetController.onView(view, otherInstances);
    }

    private void onSourceLost(String source) {
        mFleetController.onSourceLost(source);
    }

    private SuspectedPrimaryListener suspectedPrimaryListener() {
        return mFleetController.suspectedPrimaryListener();
    }

    private void reportDemand(Map<String, Double> demandPerSecond) {
        mFleetController.onDemand(demandPerSecond);
    }

    private void requestPosition(
            String service, long maximumAgeMillis, Consumer<Optional<TimedPosition>> callback) {
        mFleetController.peerPositions().requestPosition(service, maximumAgeMillis, callback);
    }

    private void borrowTokens(
            String workspace, List<String> lenders, int wanted, Consumer<TokenGrant> callback) {
        mFleetController.tokenBorrower().borrow(workspace, lenders, wanted, callback);
    }

    private boolean isReady() {
        return mOpen && !mDraining && mControlPlane.isReady();
    }

    /**
     * Starts the control plane, and opens the callers' listener as soon as the control plane is
     * ready.
     *
     * <p>The operators' listener opens some time after that of the callers, because starting it
     * takes as much processor time as the first statements and callers wait for a restarted
     * instance. It also opens if the control plane is not ready in time.
     *
     * @param ended counted down when the process is asked to terminate
     * @return whether callers are served; false if the process was asked to terminate before
     */
    public boolean start(CountDownLatch ended) throws InterruptedException {
        if (!mSettings.experimental().equals(ExperimentalSettings.NONE)) {
            GatewayEvent.EXPERIMENT.log(mSettings.experimental());
        }
        mControlPlane.start();
        mFleetController.start();
        openWhenReady(ended, OPERATOR_ENDPOINT_TIMEOUT_MILLIS);
        if (mOpen && ended.await(WARM_UP_DELAY_MILLIS, TimeUnit.MILLISECONDS)) {
            return true;
        }
        if (mOpen && ended.await(warmUpOrYield(), TimeUnit.MILLISECONDS)) {
            return true;
        }
        startOperatorEndpoint();
        openWhenReady(ended, Long.MAX_VALUE);
        return mOpen;
    }

    private void openWhenReady(CountDownLatch ended, long waitMillis) throws InterruptedException {
        long startedNanos = System.nanoTime();
        while (!mOpen && elapsedMillis(startedNanos) < waitMillis) {
            if (mControlPlane.isReady()) {
                open();
                return;
            }
            if (ended.await(READY_POLL_MILLIS, TimeUnit.MILLISECONDS)) {
                return;
            }
        }
    }

    private void open() {
        mTraffic.start();
        mOpen = true;
        GatewayEvent.STARTED.log(
                mSettings.instance(), mSettings.failureDomain(), mSettings.callerListener());
    }

    /**
     * Warms up unless callers have come already, who would have to wait for it.
     *
     * @return the milliseconds after which the operators' listener is to open
     */
    private long warmUpOrYield() {
        if (!mTraffic.counts().isEmpty()) {
            return BUSY_OPERATOR_ENDPOINT_DELAY_MILLIS;
        }
        new WarmUp(
                        mTrafficLoop,
                        mSettings,
                        mPlatform.wireFormat(),
                        mPlatform.warmUpScript(),
                        mClock,
                        () -> !mTraffic.hasNoSessions(),
                        mTrafficDelay)
                .start();
        return OPERATOR_ENDPOINT_DELAY_MILLIS;
    }

    private void startOperatorEndpoint() {
        PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        mMeters.add(registry);
        ProcessorMetrics.register(registry, List.of(mTrafficDelay, mControlDelay));
        new OperatorEndpoint(mSettings.operatorListener(), this::isReady, registry::scrape).start();
    }

    /**
     * Drains the gateway: reports it as not ready and closes sessions until the drain time is over.
     *
     * <p>Idle sessions are closed as soon as the load balancer has seen the failed health checks.
     * Open transactions may continue for the first half of the drain time; from then on new
     * operations are refused, and a transaction ends with its statement in progress. At the end
     * each statement in progress gets a final answer, so that no connection ends without one. The
     * process may exit afterwards.
     */
    public void drain() throws InterruptedException {
        long startedNanos = System.nanoTime();
        SessionCounts counts = mTraffic.counts();
        GatewayEvent.DRAIN_STARTED.log(counts.sessions(), counts.transactions());
        mDraining = true;
        mTraffic.stopHosting();
        TimeUnit.MILLISECONDS.sleep(Math.min(BALANCER_NOTICE_MILLIS, mSettings.drainMillis() / 2));
        awaitSessionEnds(startedNanos, mSettings.drainMillis() / 2);
        mTraffic.endTransactions();
        counts = awaitSessionEnds(startedNanos, mSettings.drainMillis() - EXIT_RESERVE_MILLIS);
        if (!counts.isEmpty()) {
            mTraffic.endStatements();
            TimeUnit.MILLISECONDS.sleep(LAST_ANSWERS_MILLIS);
        }
        mTraffic.closeListener();
        GatewayEvent.DRAIN_ENDED.log(counts.sessions(), counts.transactions());
    }

    /**
     * Ends all work of the gateway, also that of the control plane, and releases its threads.
     *
     * <p>A process that exits need not call this. To be called after {@link #drain}, if sessions
     * are to end in an orderly way.
     */
    @Override
    public void close() {
        mControlGroup.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        mTrafficLoop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** Closes sessions that are or become idle until none is left or the time is over. */
    private SessionCounts awaitSessionEnds(long startedNanos, long endMillis)
            throws InterruptedException {
        mTraffic.closeIdleSessions();
        SessionCounts counts = mTraffic.counts();
        while (!counts.isEmpty() && elapsedMillis(startedNanos) < endMillis) {
            TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_MILLIS);
            mTraffic.closeIdleSessions();
            counts = mTraffic.counts();
        }
        return counts;
    }

    private static long elapsedMillis(long startedNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
    }
}
