package org.plantainferry.gateway.traffic;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.plantainferry.engine.catalog.DatabaseRoute;
import org.plantainferry.engine.freshness.TimedPosition;
import org.plantainferry.engine.hosting.HostAssignments;
import org.plantainferry.engine.placement.ReadPlacement;
import org.plantainferry.engine.placement.ReadTimeEstimate;
import org.plantainferry.engine.quota.LimitTolerance;
import org.plantainferry.gateway.passing.HostLinks;
import org.plantainferry.gateway.passing.PassingProtocol;
import org.plantainferry.gateway.peer.PeerProtocol;
import org.plantainferry.gateway.processor.LoopDelayProbe;
import org.plantainferry.gateway.settings.ExperimentalSettings;
import org.plantainferry.gateway.settings.GatewaySettings;
import org.plantainferry.gateway.spi.InstanceEntry;
import org.plantainferry.gateway.spi.WireFormat;
import org.plantainferry.network.http.SocketAddresses;

/**
 * Serves all caller sessions of one instance on a single event loop.
 *
 * @since 0.2
 */
public final class TrafficServer {
    private static final long RELAY_DURATION_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final int BACKLOG = 512;
    private static final int MIN_RECEIVE_BYTES = 64;
    private static final int FIRST_RECEIVE_BYTES = 2_048;
    // A caller that sends much lets others go first after as many.
    private static final int RECEIVES_IN_ROW = 4;
    private static final long CLEANUP_INTERVAL_MILLIS = 5_000;
    private static final long DEMAND_REPORT_INTERVAL_MILLIS = 2_500;
    // The age of a confirmation counts from the sending of its request, and a caller's request is
    // sent before it is checked, so the margin only has to cover differences between clocks.
    private static final long CONFIRMATION_MARGIN_MILLIS = 200;

    private final EventLoop mLoop;
    private final GatewaySettings mSettings;
    private final LongSupplier mClock;
    private final ServerGroupRegistry mGroups;
    private final WorkspaceRateLimiter mLimits;
    private final Supplier<FleetView> mView;
    private final ConnectionBroker mBroker;
    private final TrafficContext mContext;
    private final HostLinks mLinks;
    private final HostedOperations mHosted;
    private final List<ScheduledFuture<?>> mPeriodicTasks = new ArrayList<>();
    private Channel mListener;

    /**
     * Creates the server; {@link #start} opens its listener.
     *
     * @param loop the event loop whose thread runs all traffic
     * @param view supplies the latest view that the control plane has published
     * @param clock time that includes suspensions of the machine, in nanoseconds
     * @param suspectedPrimaryListener supplies the listener to which unresponsive primaries are
     *     reported
     * @param borrower requests rate-limit tokens from other instances
     * @param peerPositions requests log positions from other instances
     * @param demandReports receives the demand of this instance, to be sent to the other instances
     * @param leaseGuard decides which servers may be used as primaries
     * @param delayProbe measures how late the traffic thread is
     */
    public TrafficServer(
            EventLoop loop,
            GatewaySettings settings,
            WireFormat format,
            Supplier<FleetView> view,
            LongSupplier clock,
            Supplier<SuspectedPrimaryListener> suspectedPrimaryListener,
            TokenBorrower borrower,
            PeerPositionSource peerPositions,
            Consumer<Map<String, Double>> demandReports,
            TrafficMetrics metrics,
            PrimaryLeaseGuard leaseGuard,
            LoopDelayProbe delayProbe) {
        mLoop = loop;
        mSettings = settings;
        mClock = clock;
        ConnectionMemory memory = new ConnectionMemory(loop, memoryBytes(settings), metrics);
        HostAssignments assignments =
                new HostAssignments(
                        settings.instance(),
                        settings.failureDomain(),
                        settings.experimental().hostMode());
        mGroups =
                new ServerGroupRegistry(
                        loop, format, settings, clock, metrics, memory, leaseGuard, assignments);
        mLimits = workspaceLimits(settings, view, borrower, demandReports);
        AdmissionControl admission =
                new AdmissionControl(
                        view,
                        mLimits,
                        clock,
                        settings.keyWithdrawalMillis() - CONFIRMATION_MARGIN_MILLIS);
        mBroker =
                new ConnectionBroker(
                        loop,
                        mGroups,
                        readPlacement(settings),
                        clock,
                        suspectedPrimaryListener,
                        peerPositions,
                        leaseGuard);
        mView = view;
        mLinks = new HostLinks(loop, settings.instance(), settings.localAddress(), clock);
        HostSelection hosts = new HostSelection(assignments, mLinks, metrics);
        PassingRunner runner = new PassingRunner(mBroker, hosts);
        mContext =
                new TrafficContext(
                        loop,
                        format,
                        mBroker,
                        admission,
                        metrics,
                        runner,
                        memory,
                        sessionLimit(settings),
                        delayProbe);
        mHosted = new HostedOperations(mContext);
    }

    private static WorkspaceRateLimiter workspaceLimits(
            GatewaySettings settings,
            Supplier<FleetView> view,
            TokenBorrower borrower,
            Consumer<Map<String, Double>> demandReports) {
        LimitTolerance terms =
                new LimitTolerance(
                        settings.rateWindowMillis() / 1_000.0,
                        settings.rateExcess(),
                        settings.rateSlack());
        return new WorkspaceRateLimiter(
                settings.instance(),
                settings.failureDomain(),
                view,
                terms,
                System::nanoTime,
                borrower,
                demandReports);
    }

    private static ReadPlacement readPlacement(GatewaySettings settings) {
        boolean isLearned =
                settings.experimental().serverRoom().equals(ExperimentalSettings.LEARNED);
        return new ReadPlacement(
                settings.failureDomain(),
                isLearned ? ReadTimeEstimate.byLearnedTimes() : ReadTimeEstimate.byResponseTimes());
    }

    private static long memoryBytes(GatewaySettings settings) {
        return settings.resources().callerMemoryBytes(Runtime.getRuntime().maxMemory());
    }

    private static int sessionLimit(GatewaySettings settings) {
        return settings.resources().sessionLimit(FileDescriptorLimit.read());
    }

    /** Opens the listener for callers and blocks until it is bound. */
    public void start() {
        mListener =
                new ServerBootstrap()
                        .group(mLoop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                new AdaptiveRecvByteBufAllocator(
                                                MIN_RECEIVE_BYTES,
                                                FIRST_RECEIVE_BYTES,
                                                ConnectionMemory.SMALL_BYTES)
                                        .maxMessagesPerRead(RECEIVES_IN_ROW))
                        .childOption(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                new WriteBufferWaterMark(
                                        ConnectionMemory.SMALL_BYTES,
                                        2 * ConnectionMemory.SMALL_BYTES))
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        CallerSession session = new CallerSession(mContext);
                                        LineCodec.addTo(
                                                channel.pipeline(), session::onPartialMessage);
                                        channel.pipeline().addLast(session);
                                    }
                                })
                        .bind(SocketAddresses.parse(mSettings.callerListener()))
                        .syncUninterruptibly()
                        .channel();
        mPeriodicTasks.add(
                mLoop.scheduleWithFixedDelay(
                        () -> runGuarded(this::cleanUp),
                        CLEANUP_INTERVAL_MILLIS,
                        CLEANUP_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS));
        mPeriodicTasks.add(
                mLoop.scheduleWithFixedDelay(
                        () -> runGuarded(mLimits::reportDemand),
                        0,
                        DEMAND_REPORT_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS));
    }

    /** Returns the address of the listener; must follow {@link #start}. */
    public InetSocketAddress address() {
        return (InetSocketAddress) mListener.localAddress();
    }

    /** Returns whether no session is open and nothing is hosted; for the traffic thread only. */
    public boolean hasNoSessions() {
        return mContext.sessions().isEmpty() && mHosted.count() == 0;
    }

    /** Closes the listener, all sessions and all connections to servers. */
    public void close() {
        mPeriodicTasks.forEach(task -> task.cancel(false));
        closeListener();
        mLoop.execute(
                () -> {
                    List.copyOf(mContext.sessions()).forEach(CallerSession::close);
                    mLinks.close();
                    mHosted.close();
                    mGroups.close();
                });
    }

    /** Runs a periodic task, which would not run again after an error. */
    private void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (OutOfMemoryError e) {
            mContext.memory().relieve(e);
        }
    }

    private void cleanUp() {
        mGroups.closeIdleConnections();
        mGroups.logCapacityChanges();
        mGroups.updateLoadMetrics(mView.get().configuration().limits().keySet());
        mLinks.closeIdle();
        mLimits.discardRemovedWorkspaces();
    }

    /** Applies a new view asynchronously. Safe to call from any thread. */
    public void onFleetView(FleetView view) {
        mLoop.execute(
                () -> {
                    mGroups.applyView(view);
                    mBroker.waitingList().wake();
                });
    }

    /** Applies the list of the other instances. Safe to call from any thread. */
    public void onOtherInstances(Map<String, InstanceEntry> otherInstances) {
        Map<String, String> addresses = new HashMap<>();
        otherInstances.forEach((name, entry) -> addresses.put(name, entry.peerAddress()));
        mLoop.execute(() -> mLinks.setAddresses(addresses));
    }

    /** Returns the protocol over which other instances pass operations to this one. */
    public PeerProtocol passingProtocol() {
        return new PassingProtocol(mLoop, mSettings.instance(), mHosted, mClock);
    }

    /**
     * Refuses operations of other instances from now on, which serve them elsewhere. Safe to call
     * from any thread.
     */
    public void stopHosting() {
        mLoop.execute(mHosted::leave);
    }

    /** Records the demand that another instance reported. Safe to call from any thread. */
    public void onDemandReport(String instance, Map<String, Double> demandPerSecond) {
        mLoop.execute(() -> mLimits.onDemandReport(instance, demandPerSecond));
    }

    /**
     * Takes tokens for another instance. Safe to call from any thread; the callback runs on the
     * traffic thread.
     */
    public void lendTokens(String workspace, int wanted, Consumer<TokenGrant> callback) {
        mLoop.execute(() -> callback.accept(mLimits.lend(workspace, wanted)));
    }

    /**
     * Finds a log position of a primary for another instance. Safe to call from any thread.
     *
     * @param maximumAgeMillis the maximum age of the position, in milliseconds
     * @param callback runs once, on the traffic thread; receives nothing when no route leads to the
     *     service or the primary cannot be sampled
     */
    public void findPrimaryPosition(
            String service, long maximumAgeMillis, Consumer<Optional<TimedPosition>> callback) {
        mLoop.execute(
                () -> {
                    long since =
                            mClock.getAsLong() - TimeUnit.MILLISECONDS.toNanos(maximumAgeMillis);
                    Optional<DatabaseRoute> route =
                            mView.get().configuration().routes().values().stream()
                                    .filter(candidate -> candidate.service().equals(service))
                                    .findFirst();
                    if (route.isEmpty()) {
                        callback.accept(Optional.empty());
                        return;
                    }
                    new PeerPositionHandler(mBroker, route.get(), since, callback).start();
                });
    }

    /**
     * Opens new connections to a server through another instance for a few seconds. Safe to call
     * from any thread; does nothing for an unknown server.
     */
    public void relayThrough(String service, String server, String address) {
        long until = mClock.getAsLong() + RELAY_DURATION_NANOS;
        mLoop.execute(
                () ->
                        Optional.ofNullable(mGroups.group(service).pools().get(server))
                                .ifPresent(pool -> pool.relayThrough(address, until)));
    }

    /** Runs an action on the traffic thread. Safe to call from any thread. */
    public void execute(Runnable action) {
        mLoop.execute(action);
    }

    /**
     * Closes idle sessions now, and each other session as soon as it becomes idle; refuses new
     * sessions. Safe to call from any thread.
     */
    public void closeIdleSessions() {
        mLoop.execute(
                () -> {
                    mContext.enter(DrainStage.CLOSING_IDLE_SESSIONS);
                    for (CallerSession session : List.copyOf(mContext.sessions())) {
                        if (session.isIdle()) {
                            session.close();
                        }
                    }
                });
    }

    /**
     * Refuses new operations, and rolls back each open transaction, now or when its statement in
     * progress has an answer. Safe to call from any thread.
     */
    public void endTransactions() {
        mLoop.execute(
                () -> {
                    mContext.enter(DrainStage.ENDING_OPERATIONS);
                    List.copyOf(mContext.sessions()).forEach(CallerSession::endTransaction);
                    mHosted.endTransactions();
                });
    }

    /**
     * Gives each statement in progress its final answer without waiting for servers. Safe to call
     * from any thread.
     */
    public void endStatements() {
        mLoop.execute(
                () -> {
                    mContext.enter(DrainStage.ENDING_STATEMENTS);
                    List.copyOf(mContext.sessions()).forEach(CallerSession::endStatement);
                    mHosted.endStatements();
                });
    }

    /** Closes the listener for callers. Safe to call from any thread. */
    public void closeListener() {
        mListener.close();
    }

    /**
     * Returns the number of sessions, open transactions and operations of other instances. Blocks
     * until the traffic thread has counted them.
     */
    public SessionCounts counts() {
        return mLoop.submit(this::countSessions).syncUninterruptibly().getNow();
    }

    private SessionCounts countSessions() {
        int transactions =
                (int) mContext.sessions().stream().filter(CallerSession::isInTransaction).count();
        return new SessionCounts(mContext.sessions().size(), transactions, mHosted.count());
    }
}
