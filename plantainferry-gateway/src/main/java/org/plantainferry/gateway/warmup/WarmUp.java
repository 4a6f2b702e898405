package org.plantainferry.gateway.warmup;

import io.micrometer.core.instrument.composite.CompositeMeterRegistry;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.catalog.DatabaseRoute;
import org.plantainferry.engine.catalog.GroupSettings;
import org.plantainferry.engine.catalog.PlainKeys;
import org.plantainferry.engine.catalog.ReadGuarantee;
import org.plantainferry.engine.catalog.RoutingConfiguration;
import org.plantainferry.engine.catalog.ServerCatalog;
import org.plantainferry.engine.catalog.WorkspaceLimit;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.processor.LoopDelayProbe;
import org.plantainferry.gateway.settings.ExperimentalSettings;
import org.plantainferry.gateway.settings.GatewaySettings;
import org.plantainferry.gateway.settings.ResourceSettings;
import org.plantainferry.gateway.spi.WarmUpScript;
import org.plantainferry.gateway.spi.WireFormat;
import org.plantainferry.gateway.traffic.FleetView;
import org.plantainferry.gateway.traffic.PrimaryLeaseGuard;
import org.plantainferry.gateway.traffic.TokenGrant;
import org.plantainferry.gateway.traffic.TrafficMetrics;
import org.plantainferry.gateway.traffic.TrafficServer;

/**
 * Runs sessions against a server of its own, so that the code of statements is compiled when the
 * first caller comes.
 *
 * <p>A second {@link TrafficServer} on the loopback address serves them, with a configuration and
 * servers that exist for the warm-up only; no server of the fleet and no limit is used. The
 * sessions run one after the other and stop as soon as a caller has come. Confined to the traffic
 * thread after {@link #start}.
 */
public final class WarmUp {
    private static final String LOOPBACK = "127.0.0.1";
    private static final String NAME = "warm-up";
    private static final int SESSIONS = 24;
    private static final long PAUSE_MILLIS = 10;
    private static final long STATEMENT_TIMEOUT_MILLIS = 2_000;
    private static final double UNLIMITED = 1_000_000;

    private final EventLoop mLoop;
    private final WarmUpScript mScript;
    private final LongSupplier mClock;
    private final BooleanSupplier mCallersPresent;
    private final WarmUpServer mServer;
    private final TrafficServer mTraffic;
    private final RoutingConfiguration mConfiguration;
    private final ServerCatalog mCatalog;
    private final long mStartedNanos;
    private int mSessions;

    /**
     * Creates a warm-up; {@link #start} begins it. Must not be called on the event loop.
     *
     * @param loop the event loop of the traffic thread
     * @param callersPresent whether a caller has come, which ends the warm-up
     * @param delayProbe measures how late the event loop is
     */
    public WarmUp(
            EventLoop loop,
            GatewaySettings settings,
            WireFormat format,
            WarmUpScript script,
            LongSupplier clock,
            BooleanSupplier callersPresent,
            LoopDelayProbe delayProbe) {
        mLoop = loop;
        mScript = script;
        mClock = clock;
        mCallersPresent = callersPresent;
        mStartedNanos = clock.getAsLong();
        mServer = new WarmUpServer(loop, LOOPBACK, script);
        mConfiguration = configuration();
        mCatalog = catalog(mServer.address(), settings.failureDomain());
        mTraffic =
                new TrafficServer(
                        loop,
                        loopbackSettings(settings),
                        format,
                        this::view,
                        clock,
                        () -> (service, server) -> {},
                        (workspace, lenders, wanted, callback) -> callback.accept(TokenGrant.NONE),
                        (service, age, callback) -> callback.accept(Optional.empty()),
                        demand -> {},
                        new TrafficMetrics(new CompositeMeterRegistry()),
                        new PrimaryLeaseGuard(clock),
                        delayProbe);
    }

    private static GatewaySettings loopbackSettings(GatewaySettings settings) {
        return new GatewaySettings(
                NAME,
                settings.failureDomain(),
                LOOPBACK,
                LOOPBACK + ":0",
                LOOPBACK + ":0",
                settings.peerPort(),
                settings.storeAddress(),
                settings.ordersAddress(),
                settings.drainMillis(),
                settings.serverDrainMillis(),
                settings.platformFencesPrimaries(),
                settings.configurationMillis(),
                settings.keyWithdrawalMillis(),
                settings.rateWindowMillis(),
                settings.rateExcess(),
                settings.rateSlack(),
                Optional.empty(),
                ExperimentalSettings.NONE,
                ResourceSettings.NONE);
    }

    private static RoutingConfiguration configuration() {
        DatabaseRoute route =
                new DatabaseRoute(
                        NAME,
                        NAME,
                        ReadGuarantee.SESSION,
                        STATEMENT_TIMEOUT_MILLIS,
                        STATEMENT_TIMEOUT_MILLIS,
                        STATEMENT_TIMEOUT_MILLIS,
                        0,
                        false);
        return new RoutingConfiguration(
                1,
                Map.of(NAME, route),
                Map.of(NAME, new GroupSettings(SESSIONS, 0)),
                new PlainKeys(Map.of(NAME, NAME)),
                Map.of(NAME, new WorkspaceLimit(UNLIMITED, UNLIMITED)),
                STATEMENT_TIMEOUT_MILLIS);
    }

    private static ServerCatalog catalog(String address, String failureDomain) {
        CatalogServer primary =
                new CatalogServer("primary", NAME, address, failureDomain, true, false, 1, 0);
        CatalogServer replica =
                new CatalogServer("replica", NAME, address, failureDomain, false, false, 1, 0);
        return new ServerCatalog(List.of(primary, replica), Map.of(NAME, primary.id()), Map.of());
    }

    private FleetView view() {
        return new FleetView(mConfiguration, mCatalog, mClock.getAsLong(), Map.of(), Set.of());
    }

    /** Opens the listener and begins to run the sessions; must not be called on the event loop. */
    public void start() {
        mTraffic.onFleetView(view());
        mTraffic.start();
        mLoop.execute(this::runSession);
    }

    private void runSession() {
        if (mSessions == SESSIONS || mCallersPresent.getAsBoolean()) {
            end();
            return;
        }
        mSessions++;
        new WarmUpSession(mScript, mScript.callerLines(NAME, NAME), this::onSessionEnded)
                .start(mLoop, mTraffic.address());
    }

    private void onSessionEnded(boolean complete) {
        if (!complete) {
            end();
            return;
        }
        mLoop.schedule(this::runSession, PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void end() {
        mTraffic.close();
        mServer.close();
        long tookNanos = mClock.getAsLong() - mStartedNanos;
        GatewayEvent.WARM_UP_ENDED.log(mSessions, TimeUnit.NANOSECONDS.toMillis(tookNanos));
    }
}
