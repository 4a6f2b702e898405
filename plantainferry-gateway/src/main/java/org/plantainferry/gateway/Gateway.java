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
import org.plantainferry.gateway.log.GatewayEvent;
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

/**
 * Assembles and runs the gateway of one instance.
 *
 * @since 0.2
 */
public final class Gateway {
    private static final long READY_POLL_MILLIS = 10;
    // Without a configuration operators have to see that the instance waits for it.
    private static final long OPERATOR_ENDPOINT_TIMEOUT_MILLIS = 3_000;
    private static final long OPERATOR_ENDPOINT_DELAY_MILLIS = 1_500;
    // The balancer needs two missed health checks, one a second, before it sends no new callers.
    private static final long BALANCER_NOTICE_MILLIS = 2_300;
    private static final long DRAIN_POLL_MILLIS = 50;
    private static final long EXIT_RESERVE_MILLIS = 700;

    private final GatewaySettings mSettings;
    private final ControlPlane mControlPlane;
    private final TrafficServer mTraffic;
    private final FleetController mFleetController;
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
        mControlPlane =
                new ControlPlane(controlGroup.next(), settings, platform, clock, this::onView);
        PrimaryLeaseGuard guard = new PrimaryLeaseGuard(clock);
        mTraffic =
                new TrafficServer(
                        traffic,
                        settings,
                        platform.wireFormat(),
                        mControlPlane::view,
                        clock,
                        this::suspectedPrimaryListener,
                        this::borrowTokens,
                        this::requestPosition,
                        this::reportDemand,
                        new TrafficMetrics(mMeters),
                        guard);
        mFleetController =
                new FleetController(
                        controlGroup.next(),
                        settings,
                        platform,
                        mTraffic,
                        mControlPlane,
                        clock,
                        guard);
    }

    private static EventLoopGroup singleThread(String name) {
        return new MultiThreadIoEventLoopGroup(
                1, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
    }

    private void onView(FleetView view, Optional<Map<String, InstanceEntry>> others) {
        mTraffic.onFleetView(view);
        mFleetController.onView(view, others);
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
     * Starts control, and opens the callers' listener when a configuration is known.
     *
     * <p>The operators' listener opens a while after that of the callers, because it takes as much
     * processor time as the first statements, and callers wait for a restarted instance. It also
     * opens when no configuration is found soon.
     *
     * @param ended counts down when the process is to end
     * @return whether callers are served; false when the process was told to end before
     */
    public boolean start(CountDownLatch ended) throws InterruptedException {
        mControlPlane.start();
        mFleetController.start();
        openWhenReady(ended, OPERATOR_ENDPOINT_TIMEOUT_MILLIS);
        if (mOpen && ended.await(OPERATOR_ENDPOINT_DELAY_MILLIS, TimeUnit.MILLISECONDS)) {
            return true;
        }
        startOperatorEndpoint();
        openWhenReady(ended, Long.MAX_VALUE);
        return mOpen;
    }

    private void openWhenReady(CountDownLatch ended, long waitMillis) throws InterruptedException {
        long started = System.nanoTime();
        while (!mOpen && elapsedMillis(started) < waitMillis) {
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

    private void startOperatorEndpoint() {
        PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        mMeters.add(registry);
        new OperatorEndpoint(mSettings.operatorListener(), this::isReady, registry::scrape).start();
    }

    /**
     * Ends the service: health turns bad, callers finish, and the process may exit.
     *
     * <p>Open transactions have the first half of the time; sessions without work are closed as
     * soon as the balancer has noticed.
     */
    public void drain() throws InterruptedException {
        long started = System.nanoTime();
        SessionCounts counts = mTraffic.counts();
        GatewayEvent.DRAIN_STARTED.log(counts.sessions(), counts.transactions());
        mDraining = true;
        TimeUnit.MILLISECONDS.sleep(Math.min(BALANCER_NOTICE_MILLIS, mSettings.drainMillis() / 2));
        mTraffic.closeIdleSessions();
        boolean ended = false;
        while (counts.sessions() > 0 && elapsedMillis(started) < drainEndMillis()) {
            TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_MILLIS);
            if (!ended && elapsedMillis(started) >= mSettings.drainMillis() / 2) {
                ended = true;
                mTraffic.rollBackIdleTransactions();
            }
            mTraffic.closeIdleSessions();
            counts = mTraffic.counts();
        }
        mTraffic.closeListener();
        GatewayEvent.DRAIN_ENDED.log(counts.sessions(), counts.transactions());
    }

    private long drainEndMillis() {
        return mSettings.drainMillis() - EXIT_RESERVE_MILLIS;
    }

    private static long elapsedMillis(long startedNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
    }
}
