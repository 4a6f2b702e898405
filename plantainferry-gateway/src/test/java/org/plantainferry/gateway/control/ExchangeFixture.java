package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.plantainferry.engine.catalog.RoutingConfiguration;
import org.plantainferry.engine.catalog.ServerCatalog;
import org.plantainferry.engine.catalog.WorkspaceLimit;
import org.plantainferry.gateway.peer.PeerChannel;
import org.plantainferry.gateway.processor.LoopDelayProbe;
import org.plantainferry.gateway.settings.ExperimentalSettings;
import org.plantainferry.gateway.settings.GatewaySettings;
import org.plantainferry.gateway.settings.ResourceSettings;
import org.plantainferry.gateway.spi.InstanceEntry;
import org.plantainferry.gateway.traffic.FleetView;
import org.plantainferry.gateway.traffic.PrimaryLeaseGuard;
import org.plantainferry.gateway.traffic.TrafficServer;

/** Holds what an exchange with other instances needs, in an instance that serves no callers. */
final class ExchangeFixture {
    static final String LOCAL = "127.0.0.1";

    /** A port at which no instance listens, because the tests pass the answers on themselves. */
    private static final String UNUSED_ADDRESS = LOCAL + ":9";

    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final AtomicLong mNowNanos = new AtomicLong(TimeUnit.SECONDS.toNanos(100));
    private final PeerChannel mPeers = new PeerChannel(loop(), LOCAL, freeDatagramPort());

    static InstanceEntry entry(String name, String failureDomain) {
        return new InstanceEntry(name, failureDomain, UNUSED_ADDRESS);
    }

    static GatewaySettings settings(String instance, String failureDomain) {
        return new GatewaySettings(
                instance,
                failureDomain,
                LOCAL,
                UNUSED_ADDRESS,
                UNUSED_ADDRESS,
                1,
                UNUSED_ADDRESS,
                UNUSED_ADDRESS,
                6_000,
                3_000,
                false,
                3_000,
                5_000,
                5_000,
                0,
                0,
                Optional.empty(),
                ExperimentalSettings.NONE,
                ResourceSettings.NONE);
    }

    private static int freeDatagramPort() {
        try (DatagramSocket socket = new DatagramSocket(new InetSocketAddress(LOCAL, 0))) {
            return socket.getLocalPort();
        } catch (SocketException e) {
            throw new IllegalStateException(e);
        }
    }

    EventLoop loop() {
        return mGroup.next();
    }

    PeerChannel peers() {
        return mPeers;
    }

    long nowNanos() {
        return mNowNanos.get();
    }

    void advanceMillis(long millis) {
        mNowNanos.addAndGet(millis * NANOS_PER_MILLI);
    }

    /** Creates the traffic server of the only instance, without a listener for callers. */
    TrafficServer traffic(Map<String, WorkspaceLimit> limits) {
        RoutingConfiguration empty = RoutingConfiguration.EMPTY;
        RoutingConfiguration configuration =
                new RoutingConfiguration(
                        1,
                        empty.routes(),
                        empty.groups(),
                        empty.keys(),
                        limits,
                        empty.transactionIdleMillis());
        FleetView view = new FleetView(configuration, ServerCatalog.EMPTY, 0, Map.of(), Set.of());
        return new TrafficServer(
                loop(),
                settings("i1", "zone"),
                null,
                () -> view,
                this::nowNanos,
                () -> null,
                null,
                null,
                demand -> {},
                null,
                new PrimaryLeaseGuard(this::nowNanos),
                new LoopDelayProbe(loop(), "traffic", this::nowNanos));
    }

    /** Runs steps in one task of the event loop, so that no timeout comes between them. */
    void run(Runnable steps) throws Exception {
        loop().submit(steps).sync();
    }

    void close() {
        mGroup.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
}
