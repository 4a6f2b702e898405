package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.plantainferry.gateway.feed.StoreEpochTracker;
import org.plantainferry.gateway.feed.StoreFollowing;
import org.plantainferry.gateway.peer.PeerChannel;
import org.plantainferry.gateway.peer.PeerListener;
import org.plantainferry.gateway.peer.PeerProtocol;
import org.plantainferry.gateway.peer.generated.InstanceMessage;
import org.plantainferry.gateway.processor.LoopDelayProbe;
import org.plantainferry.gateway.relay.RelayServer;
import org.plantainferry.gateway.settings.GatewaySettings;
import org.plantainferry.gateway.spi.InstanceEntry;
import org.plantainferry.gateway.spi.PlatformConnection;
import org.plantainferry.gateway.traffic.FleetView;
import org.plantainferry.gateway.traffic.PeerPositionSource;
import org.plantainferry.gateway.traffic.PrimaryLeaseGuard;
import org.plantainferry.gateway.traffic.ServerProbe;
import org.plantainferry.gateway.traffic.SuspectedPrimaryListener;
import org.plantainferry.gateway.traffic.TokenBorrower;
import org.plantainferry.gateway.traffic.TrafficMetrics;
import org.plantainferry.gateway.traffic.TrafficServer;

/**
 * Creates and connects the components that communicate with other instances.
 *
 * <p>Used by the control thread only, except {@link #start}, {@link #suspectedPrimaryListener},
 * {@link #peerPositions} and {@link #tokenBorrower}.
 *
 * @since 0.2
 */
public final class FleetController {
    private final EventLoop mLoop;
    private final Supplier<FleetView> mView;
    private final ControlPlane mControl;
    private final PeerChannel mPeers;
    private final TrafficServer mTraffic;
    private final DemandExchange mDemandExchange;
    private final ReachabilityPoll mReachabilityPoll;
    private final TokenExchange mTokenExchange;
    private final ConfirmationExchange mConfirmationExchange;
    private final QuorumLeaseExchange mQuorumLeaseExchange;
    private final PositionExchange mPositionExchange;
    private final boolean mGuardsPrimaries;
    private final ReplicaMembershipKeeper mMemberships;
    private final PrimaryMonitor mPrimaryMonitor;
    private final LoopDelayProbe mDelayProbe;

    /**
     * Opens the ports for messages and relayed connections of other instances.
     *
     * @param loop the event loop of the control thread
     * @param clock a clock in nanoseconds that advances while the machine is suspended
     * @param following passes the feeds of the store on to other instances
     * @param guard is told which primaries may be used
     * @param metrics counts the answers of servers that do not match their statement
     * @param delayProbe measures how late the control thread is
     */
    public FleetController(
            EventLoop loop,
            GatewaySettings settings,
            PlatformConnection platform,
            TrafficServer traffic,
            ControlPlane control,
            StoreFollowing following,
            LongSupplier clock,
            PrimaryLeaseGuard guard,
            TrafficMetrics metrics,
            LoopDelayProbe delayProbe) {
        mLoop = loop;
        mDelayProbe = delayProbe;
        mView = control::view;
        mControl = control;
        PeerChannel peers = new PeerChannel(loop, settings.localAddress(), settings.peerPort());
        mPeers = peers;
        mTraffic = traffic;
        startPeerListener(settings, following);
        ServerProbe probe = newProbe(loop, settings, platform, metrics);
        mDemandExchange = createDemandExchange(settings, traffic);
        mReachabilityPoll =
                new ReachabilityPoll(loop, settings.instance(), peers, probe, new Random());
        mConfirmationExchange =
                new ConfirmationExchange(
                        loop, settings, control, following, peers, clock, new Random());
        mTokenExchange =
                new TokenExchange(loop, settings.instance(), traffic, peers, clock, new Random());
        mPositionExchange =
                new PositionExchange(loop, settings, traffic, peers, clock, new Random());
        mQuorumLeaseExchange =
                new QuorumLeaseExchange(
                        loop,
                        settings,
                        peers,
                        platform.claims(),
                        following.epochs(),
                        control::isInstanceListSettled,
                        clock,
                        guard,
                        new Random());
        mQuorumLeaseExchange.fenceRegistry().setPrimaryListener(control::onPrimaryFound);
        mGuardsPrimaries = !settings.platformFencesPrimaries();
        mMemberships = newMembershipKeeper(settings, platform, probe, following, clock);
        ReplacementContext context =
                newReplacementContext(settings, platform, probe, guard, following.epochs(), clock);
        mPrimaryMonitor = newPrimaryMonitor(settings, context, traffic, control, clock);
    }

    private PrimaryMonitor newPrimaryMonitor(
            GatewaySettings settings,
            ReplacementContext context,
            TrafficServer traffic,
            ControlPlane control,
            LongSupplier clock) {
        return new PrimaryMonitor(
                mLoop,
                settings.instance(),
                clock,
                context.probe(),
                mReachabilityPoll,
                traffic,
                control::resolvePrimary,
                new PrimaryVerifier(mLoop, clock, context.probe(), context.fenceRegistry()),
                context.guard(),
                (service, cause, lastPrimary, endListener) ->
                        new PrimaryReplacement(
                                mLoop, context, service, cause, lastPrimary, endListener));
    }

    private ReplacementContext newReplacementContext(
            GatewaySettings settings,
            PlatformConnection platform,
            ServerProbe probe,
            PrimaryLeaseGuard guard,
            StoreEpochTracker epochs,
            LongSupplier clock) {
        FenceRegistry fences = mQuorumLeaseExchange.fenceRegistry();
        FencingTokenSource tokens = new FencingTokenSource(settings.instance(), fences);
        if (mGuardsPrimaries) {
            epochs.addListener(newClaimRestoration(settings, platform, tokens, epochs));
        }
        return new ReplacementContext(
                settings.instance(),
                platform.claims(),
                platform.promotions(),
                probe,
                mQuorumLeaseExchange.fenceExchange(),
                fences,
                tokens,
                epochs,
                mControl::isInstanceListSettled,
                platform.instances(),
                mMemberships,
                guard,
                mGuardsPrimaries,
                clock,
                mView);
    }

    private ReplicaMembershipKeeper newMembershipKeeper(
            GatewaySettings settings,
            PlatformConnection platform,
            ServerProbe probe,
            StoreFollowing following,
            LongSupplier clock) {
        return new ReplicaMembershipKeeper(
                mLoop,
                settings.instance(),
                platform.memberships(),
                following.epochs(),
                probe,
                clock);
    }

    private ClaimRestoration newClaimRestoration(
            GatewaySettings settings,
            PlatformConnection platform,
            FencingTokenSource tokens,
            StoreEpochTracker epochs) {
        return new ClaimRestoration(
                mLoop,
                settings.instance(),
                platform.claims(),
                mQuorumLeaseExchange.fenceRegistry(),
                tokens,
                epochs,
                mControl::isFollowingStore);
    }

    private static ServerProbe newProbe(
            EventLoop loop,
            GatewaySettings settings,
            PlatformConnection platform,
            TrafficMetrics metrics) {
        return new ServerProbe(loop, platform.wireFormat(), settings.localAddress(), metrics);
    }

    private DemandExchange createDemandExchange(GatewaySettings settings, TrafficServer traffic) {
        return new DemandExchange(
                mLoop, settings.instance(), traffic::onDemandReport, mPeers, new Random());
    }

    private void startPeerListener(GatewaySettings settings, StoreFollowing following) {
        RelayServer relay =
                new RelayServer(
                        mLoop, settings.localAddress(), id -> mView.get().catalog().server(id));
        Map<String, PeerProtocol> protocols =
                Map.of(
                        PeerListener.RELAY,
                        relay,
                        PeerListener.FEEDS,
                        following.protocol(),
                        PeerListener.STATEMENTS,
                        mTraffic.passingProtocol());
        new PeerListener(mLoop, settings.localAddress(), protocols).start(settings.peerPort());
    }

    /** Starts to receive messages and to exchange them periodically. */
    public void start() {
        mPeers.listen(this::onMessage);
        mLoop.execute(mConfirmationExchange::start);
        if (mGuardsPrimaries) {
            mLoop.execute(mQuorumLeaseExchange::start);
        }
    }

    /** Returns the listener to which traffic reports primaries that do not answer. */
    public SuspectedPrimaryListener suspectedPrimaryListener() {
        return mPrimaryMonitor;
    }

    /**
     * Chooses another source of the feeds, because an instance cannot be followed any more; for the
     * control thread only.
     */
    public void onSourceLost(String source) {
        mConfirmationExchange.onSourceLost(source);
    }

    /** Reports the demand at this instance to the others; may be called from any thread. */
    public void onDemand(Map<String, Double> demandPerSecond) {
        mDemandExchange.onDemand(demandPerSecond);
    }

    /** Returns the source of log positions that other instances have sampled. */
    public PeerPositionSource peerPositions() {
        return mPositionExchange;
    }

    /** Returns the client with which traffic borrows tokens from other instances. */
    public TokenBorrower tokenBorrower() {
        return mTokenExchange;
    }

    /**
     * Applies a new view.
     *
     * @param otherInstances the instances except this one, if the list was read or has changed;
     *     empty before that, because an instance that considered itself the only one would grant
     *     itself the lease for primaries
     */
    public void onView(FleetView view, Optional<Map<String, InstanceEntry>> otherInstances) {
        otherInstances.ifPresent(this::onOtherInstances);
        mMemberships.onView(view);
        mPrimaryMonitor.onView(view);
    }

    private void onOtherInstances(Map<String, InstanceEntry> otherInstances) {
        mTraffic.onOtherInstances(otherInstances);
        mDemandExchange.onOtherInstances(otherInstances);
        mTokenExchange.onOtherInstances(otherInstances);
        mConfirmationExchange.onOtherInstances(otherInstances);
        mPositionExchange.onOtherInstances(otherInstances);
        if (mControl.isInstanceListComplete()) {
            mReachabilityPoll.onOtherInstances(otherInstances);
            mQuorumLeaseExchange.onOtherInstances(otherInstances);
        }
    }

    private void onMessage(InstanceMessage message, InetSocketAddress sender) {
        mDelayProbe.onWork();
        switch (message.getContentCase()) {
            case DEMAND_REPORT ->
                    mDemandExchange.onReport(message.getInstance(), message.getDemandReport());
            case TOKEN_QUESTION ->
                    mTokenExchange.onQuestion(
                            message.getInstance(), message.getTokenQuestion(), sender);
            case TOKEN_ANSWER ->
                    mTokenExchange.onAnswer(message.getInstance(), message.getTokenAnswer());
            case CONFIRMATION_QUESTION ->
                    mConfirmationExchange.onQuestion(message.getConfirmationQuestion(), sender);
            case CONFIRMATION_ANSWER ->
                    mConfirmationExchange.onAnswer(message.getConfirmationAnswer());
            case POSITION_QUESTION ->
                    mPositionExchange.onQuestion(message.getPositionQuestion(), sender);
            case POSITION_ANSWER -> mPositionExchange.onAnswer(message.getPositionAnswer());
            case LEAD_QUESTION ->
                    mQuorumLeaseExchange.onQuestion(
                            message.getInstance(), message.getLeadQuestion(), sender);
            case LEAD_ANSWER -> mQuorumLeaseExchange.onAnswer(message.getLeadAnswer());
            case LEAD_FENCE ->
                    mQuorumLeaseExchange.onFenceAnnouncement(message.getLeadFence(), sender);
            case LEAD_FENCE_CONFIRMATION ->
                    mQuorumLeaseExchange
                            .fenceExchange()
                            .onConfirmation(
                                    message.getInstance(), message.getLeadFenceConfirmation());
            case REACHABILITY_ANSWER ->
                    mReachabilityPoll.onAnswer(
                            message.getInstance(), message.getReachabilityAnswer());
            case REACHABILITY_QUESTION ->
                    mView.get()
                            .catalog()
                            .server(message.getReachabilityQuestion().getServer())
                            .ifPresent(
                                    server ->
                                            mReachabilityPoll.onQuestion(
                                                    message.getReachabilityQuestion(),
                                                    server,
                                                    sender));
            default -> {
                // Content that only a later version knows; the sender handles the missing answer.
            }
        }
    }
}
